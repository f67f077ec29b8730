// Reports read back, and two compared.
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "lab/report.h"

namespace shorelead::lab {

Report read_report(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(path + ": cannot be read");
  const std::string content = std::move(text).str();
  rapidjson::Document document;
  document.Parse(content.c_str(), content.size());
  if (document.HasParseError()) {
    throw std::runtime_error(path + ": broken JSON at byte " + std::to_string(document.GetErrorOffset()) +
                             ": " + rapidjson::GetParseError_En(document.GetParseError()));
  }
  const auto bad = [&path](const std::string& cause) { throw std::runtime_error(path + ": " + cause); };
  const auto is_text = [&document](const char* key) {
    return document.IsObject() && document.HasMember(key) && document[key].IsString();
  };
  if (!is_text("schema")) bad("is not a report: it names no \"schema\"");
  if (std::string(document["schema"].GetString()) != kSchema) {
    bad("has the schema \"" + std::string(document["schema"].GetString()) + "\"; this program reads \"" +
        kSchema + "\"");
  }
  if (!is_text("experiment")) bad("names no \"experiment\"");
  if (!document.HasMember("runs") || !document["runs"].IsArray()) bad("holds no \"runs\"");
  Report report;
  report.file = path;
  report.experiment = document["experiment"].GetString();
  for (const auto& item : document["runs"].GetArray()) {
    const bool sound = item.IsObject() && item.HasMember("verdict") && item["verdict"].IsString() &&
                       item.HasMember("figures") && item["figures"].IsObject();
    if (!sound) bad("holds a run without \"verdict\" and \"figures\"");
    Report::Run run;
    run.verdict = item["verdict"].GetString();
    for (const auto& member : item["figures"].GetObject()) {
      if (!member.value.IsNumber())
        bad(std::string("figure \"") + member.name.GetString() + "\" is not a number");
      run.figures[member.name.GetString()] = member.value.GetDouble();
    }
    report.runs.push_back(std::move(run));
  }
  return report;
}

namespace {

struct Sample {
  double mean = 0;
  double variance = 0;  // of the mean
  double count = 0;
};

// Runs in which the lab itself was late say nothing.
Sample sample_of(const Report& report, const std::string& name) {
  std::vector<double> values;
  for (const Report::Run& run : report.runs) {
    const auto it = run.figures.find(name);
    if (run.verdict != "void" && it != run.figures.end()) values.push_back(it->second);
  }
  Sample sample;
  sample.count = static_cast<double>(values.size());
  if (values.empty()) return sample;
  for (const double value : values) sample.mean += value / sample.count;
  for (const double value : values) sample.variance += (value - sample.mean) * (value - sample.mean);
  sample.variance = sample.count > 1 ? sample.variance / (sample.count - 1) / sample.count : 0;
  return sample;
}

}  // namespace

std::vector<Difference> compare(const Report& a, const Report& b) {
  std::vector<Difference> differences;
  for (const std::string& name : figure_names()) {
    const Sample one = sample_of(a, name);
    const Sample two = sample_of(b, name);
    if (one.count == 0 || two.count == 0) continue;
    Difference difference;
    difference.figure = name;
    difference.mean_a = one.mean;
    difference.mean_b = two.mean;
    const double gap = two.mean - one.mean;
    difference.low = gap;
    difference.high = gap;
    if (one.count > 1 && two.count > 1) {
      difference.known = true;
      const double variance = one.variance + two.variance;
      if (variance > 0) {
        // Welch-Satterthwaite.
        const double freedom =
            variance * variance /
            (one.variance * one.variance / (one.count - 1) + two.variance * two.variance / (two.count - 1));
        const double reach =
            boost::math::quantile(boost::math::students_t(freedom), 0.975) * std::sqrt(variance);
        difference.low = gap - reach;
        difference.high = gap + reach;
      }
      difference.beyond_noise = difference.low > 0 || difference.high < 0;
    }
    differences.push_back(difference);
  }
  return differences;
}

}  // namespace shorelead::lab
