// Reports: the table on the terminal, the JSON (schema "shorelead-lab/1") and the page with plots. Owns how
// they look and the reading back of the JSON; it must never work out a figure of its own.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "lab/summary.h"

namespace shorelead::lab {

inline constexpr const char* kSchema = "shorelead-lab/1";

void write_table(std::ostream& out, const Summary& summary);

// All runs of one experiment in one file.
std::string to_json(const std::vector<Summary>& runs);

// What `compare` and `report` need of such a file. Throws std::runtime_error with the file and the cause.
struct Report {
  struct Run {
    std::string verdict;
    std::map<std::string, double> figures;
  };
  std::string file;
  std::string experiment;
  std::vector<Run> runs;
};
Report read_report(const std::string& path);

// One page that needs nothing else: tables and plots drawn by gnuplot, as SVG within it. Where there is no
// gnuplot, it says so in their place.
std::string to_html(const Summary& summary, const std::string& scratch_folder);

// For each figure: both means, the difference and its 95% interval (Welch's t test over the runs; the runs
// are the samples), and whether that leaves out none. Needs two runs or more on each side.
struct Difference {
  std::string figure;
  double mean_a = 0;
  double mean_b = 0;
  double low = 0;
  double high = 0;
  bool known = false;  // there were runs enough for an interval
  bool beyond_noise = false;
};
std::vector<Difference> compare(const Report& a, const Report& b);

}  // namespace shorelead::lab
