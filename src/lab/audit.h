// The auditor: puts the clients' records, the boxes' ledgers and discovery's log side by side and says which
// of the four rules broke, for which request, and on what evidence; and the three rules of many processes
// (F1 to F3), summed over them all. Pure: it takes a finished run and must never excuse what it has no record
// for, nor judge how well a run went, nor take a process's word.
//
// What is beyond a node's power is told apart from what it did. A request that was with a node when that node
// was killed is lost with it, which the rules allow; a second run of it is not. Likewise one whose process
// stood still past its due time; what the process does when it goes on is judged as ever.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/records.h"

namespace shorelead::lab {

enum class Breach {
  kLost,        // 1: taken, and no final answer
  kLate,        // 1: the final answer came after the due time
  kCut,         // 1: an answer that is not whole, though a box gave a whole one
  kTwice,       // 1: more bytes behind the final answer
  kInvented,    // 1: served with what no box made for this request
  kHeld,        // 1: a box's answer was there and was passed on only much later
  kSentAfter,   // 1: an attempt begun after the final answer or the due time
  kResent,      // 2: sent again though an earlier attempt may have run
  kRefusedRan,  // 2: refused, as harmless to repeat, though an attempt may have run
  kWindow,      // 2: a keyed request sent again outside of its group or window
  kParallel,    // 2: two attempts at once where that is not allowed
  kTooMany,     // 2: more than five attempts
  kDrained,     // 3: a new send to a box past the grace after it was told draining or gone
  kPushedOver,  // 4: a cold box fell, by nodes that were told of its start
  kOverBudget,  // F1: all processes together spent more than the whole
  kShedOrder,   // F2: a higher rank refused beside a lower one taken
  kTwoBoxes,    // F3: one key at two boxes by two processes
};

const char* name_of(Breach breach);
const char* rule_of(Breach breach);  // "1" to "4", "F1" to "F3"

struct Finding {
  Breach breach = Breach::kLost;
  std::string request;  // empty where it is about a box
  Millis at = 0;
  std::string evidence;
};

struct Audit {
  std::vector<Finding> findings;  // in order of time, at most kMostFindings of each breach
  std::map<Breach, int> counts;
  int lost_with_node = 0;    // with a node that was killed; allowed
  int lost_in_pause = 0;     // with a node that stood still past the due time; allowed
  int shut_in_crowd = 0;     // on a new connection, where idle clients filled the node; allowed
  int unknown_at_boxes = 0;  // attempts whose id no client ever sent; counted under kInvented as well
  Millis worst_drain = 0;    // longest time from word of a drain to a send begun after it
  bool clean() const { return findings.empty(); }
  static constexpr int kMostFindings = 20;
};

struct AuditLimits {
  Millis slack = 50;  // on sockets every time limit is longer by this
  Millis held = 250;  // an answer may take this long through the node
  // What discovery cannot tell counts as told so long after it came true, where a node is running and
  // watches; 0 = only what was written to it counts.
  Millis told_after = 0;
};

Audit audit(const Run& run, const AuditLimits& limits);

}  // namespace shorelead::lab
