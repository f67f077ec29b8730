// The page with plots: tables as HTML, plots by gnuplot as SVG within it. It must never fetch anything.
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "lab/report.h"

namespace shorelead::lab {
namespace {

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string fixed(double value, int digits) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*f", digits, value);
  return text.data();
}

// One plot; empty where gnuplot is not there or fails.
std::string draw(const std::string& folder, const std::string& name, const std::string& script) {
  const std::string base = folder + "/" + name;
  std::ofstream(base + ".gp")
      << "set terminal svg size 900,300 dynamic font 'sans,11' background '#ffffff'\nset output '" << base
      << ".svg'\nset key outside right\nset grid lc rgb '#dddddd'\n"
      << script;
  const std::string command = "gnuplot '" + base + ".gp' 2>'" + base + ".err'";
  const int status = std::system(command.c_str());
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) return "";
  std::ifstream file(base + ".svg");
  std::ostringstream text;
  text << file.rdbuf();
  std::string svg = std::move(text).str();
  const std::size_t from = svg.find("<svg");
  return from == std::string::npos ? "" : svg.substr(from);
}

std::string marks(const Summary& run) {
  std::string script;
  int n = 0;
  for (const Mark& mark : run.marks) {
    const std::string at = fixed(mark.at / 1000, 3);
    script += "set arrow from " + at + ",graph 0 to " + at + ",graph 1 nohead lc rgb '#cc6666' dt 2\n";
    std::string words;
    for (const char c : mark.text) words += c == '\'' || c == '\\' ? ' ' : c;
    script += "set label '" + words + "' at " + at + ",graph " + fixed(0.97 - 0.08 * (n++ % 6), 2) +
              " font ',8' tc rgb '#994444' noenhanced\n";
  }
  return script;
}

std::string table_row(const Service& s) {
  std::string row = "<tr><td>" + escaped(s.name) + "</td>";
  for (const std::string& cell :
       {std::to_string(s.wishes), fixed(100 * s.share_in_aim(), 2) + "%",
        fixed(100 * s.share_served(), 2) + "%", std::to_string(s.refused), std::to_string(s.failed),
        std::to_string(s.lost + s.unreached), std::to_string(s.left), fixed(s.latency.p50, 1),
        fixed(s.latency.p90, 1), fixed(s.latency.p99, 1), fixed(s.latency.p999, 1),
        fixed(s.tries > 0 ? static_cast<double>(s.attempts) / static_cast<double>(s.tries) : 0, 2)}) {
    row += "<td>" + cell + "</td>";
  }
  return row + "</tr>\n";
}

}  // namespace

std::string to_html(const Summary& run, const std::string& folder) {
  std::ostringstream moments;
  for (const Moment& m : run.moments) {
    const double wishes = static_cast<double>(m.wishes);
    moments << m.at / 1000 << " " << (m.wishes > 0 ? static_cast<double>(m.served) / wishes : 0) << " "
            << (m.p50 > 0 ? m.p50 : 0.01) << " " << (m.p99 > 0 ? m.p99 : 0.01) << " "
            << (m.wishes > 0 ? static_cast<double>(m.attempts) / wishes : 0) << " " << m.wishes << "\n";
  }
  std::ofstream(folder + "/moments.dat") << moments.str();
  std::ofstream boxes(folder + "/boxes.dat");
  for (const BoxFigure& box : run.boxes) {
    boxes << "\"" << box.host << "\" " << box.ran << " " << box.turned_away << " " << box.lost << "\n";
  }
  boxes.close();
  std::string memory_plots;
  std::string descriptor_plots;
  for (const NodeFigure& node : run.nodes) {
    const std::string file = folder + "/node" + std::to_string(node.node) + ".dat";
    std::ofstream out(file);
    for (const NodeSample& sample : run.samples) {
      if (sample.node == node.node) {
        out << sample.at / 1000 << " " << sample.memory_kb / 1024 << " " << sample.descriptors << "\n";
      }
    }
    const std::string title = " with lines title 'n" + std::to_string(node.node);
    memory_plots += (memory_plots.empty() ? "plot '" : ", '") + file + "' using 1:2" + title + " MB'";
    descriptor_plots += ", '" + file + "' using 1:3 axes x1y2" + title + " descriptors' dt 3";
  }
  const std::string data = "'" + folder + "/moments.dat' using ";
  const std::string x = "set xlabel 'seconds'\n";
  struct Plot {
    const char* title;
    std::string svg;
  };
  const std::vector<Plot> plots{
      {"Latency of served requests, by intended sending time",
       draw(folder, "latency",
            marks(run) + x + "set ylabel 'ms'\nset logscale y\nplot " + data +
                "1:3 with lines lw 2 title 'p50', " + data + "1:4 with lines lw 2 title 'p99'\n")},
      {"Share served, and attempts a request",
       draw(folder, "service",
            marks(run) + x + "set yrange [0:1.05]\nset y2tics\nset y2range [0:*]\nplot " + data +
                "1:2 with lines lw 2 title 'served', " + data +
                "1:5 axes x1y2 with lines title 'attempts'\n")},
      {"Requests by box", draw(folder, "boxes",
                               "set style data histograms\nset style histogram rowstacked\nset style fill "
                               "solid 0.8\nset boxwidth 0.8\n"
                               "set xtics rotate by -60 font ',8'\nplot '" +
                                   folder +
                                   "/boxes.dat' using 2:xtic(1) title 'ran', '' using 3 title 'turned away', "
                                   "'' using 4 title 'lost'\n")},
      {"Nodes: memory and descriptors",
       run.nodes.empty() ? ""
                         : draw(folder, "nodes",
                                x +
                                    "set ylabel 'MB'\nset y2tics\nset y2label 'descriptors'\nset yrange "
                                    "[0:*]\nset y2range [0:*]\n" +
                                    memory_plots + descriptor_plots + "\n")},
  };
  std::ostringstream page;
  page << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
       << escaped(run.experiment)
       << "</title><style>body{font:14px "
          "sans-serif;margin:2em;max-width:1000px}table{border-collapse:collapse}"
          "td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}td:first-child{text-align:left}"
          ".kept{color:#060}.broken,.void{color:#a00}</style></head><body>\n<h1>"
       << escaped(run.experiment) << ": <span class=\"" << run.verdict << "\">" << run.verdict
       << "</span></h1>\n"
       << "<p>Boxes, discovery and clients are stand-ins on loopback; the nodes are real. Seed " << run.seed
       << ", " << fixed(run.rate, 0) << " requests a second.</p>\n";
  for (const std::string& reason : run.reasons) page << "<p><b>" << escaped(reason) << "</b></p>\n";
  page << "<table><tr><th>class</th><th>wishes</th><th>in "
          "aim</th><th>served</th><th>refused</th><th>failed</th>"
          "<th>lost</th><th>left</th><th>p50 "
          "ms</th><th>p90</th><th>p99</th><th>p99.9</th><th>attempts</th></tr>\n";
  for (const Service& service : run.classes) page << table_row(service);
  page << table_row(run.all) << "</table>\n";
  for (const Plot& plot : plots) {
    page << "<h2>" << plot.title << "</h2>\n"
         << (plot.svg.empty() ? "<p>not drawn: gnuplot is not there, or failed</p>" : plot.svg) << "\n";
  }
  if (!run.audit.findings.empty()) {
    page << "<h2>Broken "
            "rules</h2>\n<table><tr><th>rule</th><th>breach</th><th>request</th><th>evidence</th></tr>\n";
    for (const Finding& finding : run.audit.findings) {
      page << "<tr><td>" << rule_of(finding.breach) << "</td><td>" << name_of(finding.breach) << "</td><td>"
           << escaped(finding.request) << "</td><td>" << escaped(finding.evidence) << "</td></tr>\n";
    }
    page << "</table>\n";
  }
  page << "</body></html>\n";
  return page.str();
}

}  // namespace shorelead::lab
