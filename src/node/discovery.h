// The watch on discovery's list of backends: one chunked response that stays open and carries a sequence of
// JSON objects, each ended by a newline; blank lines are keep-alives. Owns the connection, the last version
// received and the timeouts. It does not interpret changes, and does not reconnect by itself.
#pragma once

#include <functional>
#include <memory>
#include <random>

#include "node/arrival_time.h"
#include "node/config.h"
#include "node/list_reader.h"
#include "node/list_response.h"
#include "node/net.h"

namespace shorelead::node {

class Discovery : public Stream::Handler {
 public:
  struct Listener {
    std::function<void(const List&)> changed;
    std::function<void(Ending)> ended;
    // All input so far has been processed and nothing is pending. `first`: for the first time in this call,
    // so that the list was complete at some time after the call began.
    // `late`: its arrival took longer than a change may take.
    std::function<void(bool first, bool late)> current = [](bool, bool) {};
    std::function<void()> incomplete = [] {};  // a response or a list has arrived in part
    std::function<void()> call_begun = [] {};  // a call begins
  };

  struct Timeouts {
    Millis connect = 1000;
    // For the response's head. Discovery queues calls and rejects them itself after 2 s, so this is for one
    // that does not respond at all.
    Millis response = 3000;
    // Discovery sends an empty line every 2 s. A watch silent for longer than this is dead, even if its
    // connection is open.
    Millis silence = 3000;
    // From a change's first byte to its last. A watch on which one takes longer is delayed by an unknown
    // time: what follows may be as old, so it is reopened once the change is whole.
    Millis change = 500;
  };

  Discovery(Loop& loop, const Poco::Net::SocketAddress& address, std::uint64_t version, Listener listener)
      : Discovery(loop, address, version, std::move(listener), Timeouts()) {}
  Discovery(Loop& loop, const Poco::Net::SocketAddress& address, std::uint64_t version, Listener listener,
            const Timeouts& timeouts);

  ~Discovery() override;

  // Reopens the watch from the last version received; does nothing if it is open.
  void watch();
  // Closes the watch and opens one from version 0, which brings the whole list.
  void watch_from_start();
  // Discovery's address has changed: closes the watch on the old address without calling `ended`, and opens
  // one on the new from the last version received.
  void change_address(const Poco::Net::SocketAddress& address);
  bool watching() const { return stream_ != nullptr; }
  std::uint64_t version() const { return version_; }
  Millis last_received() const { return last_received_; }  // when any part of a response arrived; 0 = never
  bool has_list() const { return has_list_; }  // a list, or a sign that nothing has changed, was received
  Millis last_byte_at() const { return last_byte_at_; }  // when the last byte arrived, or the call began
  std::uint64_t calls() const { return calls_; }
  Millis call_began_at() const { return call_began_at_; }  // the last call

  // State of the last call when it ended, for the log.
  struct CallEnd {
    Millis duration = 0;               // how long the call lasted
    Millis silence = 0;                // time since its last byte, or since its start
    std::size_t incomplete_bytes = 0;  // bytes of an incomplete list
    std::size_t received_bytes = 0;    // bytes of the response, with its head and framing
    std::uint64_t from_version = 0;    // the version after which changes were requested
    bool answered = false;             // a list or keep-alive was received whole
    bool told_nothing = false;         // what arrived after the last whole list holds none
  };
  const CallEnd& last_end() const { return last_end_; }

 private:
  void on_connected(Stream&) override;
  void on_input(Stream& stream) override;
  void on_end(Stream& stream, Ending ending) override;
  void note_lateness(bool first);
  void read_lists();
  void read_text(std::string text);
  void read_slice();
  void apply(const List& list);
  void reject(const FieldError& error);
  void report_progress();
  void set_deadline(Millis wait, Ending ending);
  void give_up(Ending ending);
  void leave();
  void disconnect();
  void end(Ending ending);

  Loop& loop_;
  Poco::Net::SocketAddress address_;
  Listener listener_;
  const Timeouts timeouts_;
  std::uint64_t version_;
  std::shared_ptr<Stream> stream_;
  ListResponse response_;
  std::unique_ptr<ListReader> reader_;  // a long list, parsed in slices; later lists wait for it
  Loop::TimerId slice_timer_ = 0;
  Loop::TimerId deadline_ = 0;
  Millis last_received_ = 0;
  bool head_received_ = false;  // the response's head was received
  ArrivalTime arrival_;
  bool list_read_ = false;   // the first list of this call was read
  bool first_late_ = false;  // it arrived late
  bool delayed_ = false;     // a later one of this call did
  bool has_list_ = false;
  std::uint64_t calls_ = 0;
  Millis call_began_at_ = 0;
  bool told_nothing_ = false;       // see CallEnd
  bool data_pending_ = false;       // a list or keep-alive has arrived since the last report
  bool reported_current_ = false;   // `current` was called for this call
  std::uint64_t from_version_ = 0;  // the version after which this call requests changes
  Millis last_byte_at_ = 0;         // when the last byte arrived, or the call began
  CallEnd last_end_;
};

}  // namespace shorelead::node
