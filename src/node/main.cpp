// The command line: parses flags, runs the command and sets the exit code.
#include <Poco/Exception.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "files/whole_file.h"
#include "language/reference.h"
#include "node/config.h"
#include "node/config_diff.h"
#include "node/explain.h"
#include "node/language_binding.h"
#include "node/migrate.h"
#include "node/serve.h"

namespace {

using shorelead::node::Config;
using shorelead::node::ServeOptions;

void add_options(CLI::App& command, ServeOptions& options) {
  command.add_option("--config", options.config, "configuration file: the platform's JSON, or .shore")
      ->envname("NODE_CONFIG");
  command.add_option("--own", options.own, "additional TOML file for the platform's JSON: subsets, probes")
      ->envname("NODE_OWN");
  command.add_option("--name", options.flags.name, "name of this node (variable NODE_NAME)");
  command.add_option("--listen", options.flags.listen, "address:port for clients (variable NODE_LISTEN)");
  command.add_option("--discovery", options.flags.discovery,
                     "address:port of discovery (variable NODE_DISCOVERY, until the file is reloaded)");
  command.add_option("--mgmt", options.flags.admin, "address:port of the admin server (variable NODE_MGMT)");
  command.add_option("--log-level", options.log_level, "debug, info, warning or error")
      ->envname("NODE_LOG_LEVEL")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
}

void write_whole(const std::string& path, const std::string& text) {
  const auto result = shorelead::files::replace_whole(path, text);
  if (!result.replaced) throw shorelead::FieldError(path + " cannot be written: " + result.error);
}

// Formats a .shore file: prints the result, replaces the file (`in_place`), or only reports whether it is
// formatted (`only_check`).
int format_file(const std::string& path, bool only_check, bool in_place) {
  namespace language = shorelead::language;
  const auto text = language::disk().read(path);
  if (!text) throw shorelead::FieldError(path + " cannot be read");
  const language::Tree tree = language::parse(*text, path);
  for (const language::Problem& problem : tree.problems) std::cerr << problem.text();
  if (!tree.problems.empty()) return 1;
  const std::string formatted = language::format(tree);
  if (only_check) {
    if (formatted != *text)
      std::cerr << path << ": not formatted; run shorelead config format --write " << path << "\n";
    return formatted == *text ? 0 : 1;
  }
  if (!in_place) {
    std::cout << formatted;
    return 0;
  }
  if (formatted == *text) return 0;
  write_whole(path, formatted);
  return 0;
}

constexpr int kPartlyMigrated = 3;  // exit code of `config migrate`: some settings were not migrated

// Migrates an old configuration to the new shape; an empty `output` stands for standard output.
int migrate_file(const std::string& path, const std::string& output, bool dry, bool replace,
                 const shorelead::node::MigrationOptions& options) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw shorelead::FieldError(path + " cannot be read, or is empty");
  const auto migration = shorelead::node::migrate(std::move(text).str(), path, options);
  if (migration.already_migrated) {
    std::cerr << path << ": already in the new shape, nothing to do\n";
    return 0;
  }
  for (const std::string& line : migration.changed) std::cerr << "changed " << line << "\n";
  for (const std::string& line : migration.remaining_steps) std::cerr << "left " << line << "\n";
  if (!dry && output.empty()) std::cout << migration.text;
  if (!output.empty() && std::filesystem::exists(output)) {
    if (std::filesystem::equivalent(output, path))
      throw shorelead::FieldError(output + " is the input file; name another output");
    if (!replace) throw shorelead::FieldError(output + " exists already; --replace overwrites it");
  }
  if (!dry && !output.empty()) write_whole(output, migration.text);
  std::cerr << path << ": " << migration.changed.size() << " changed, " << migration.remaining_steps.size()
            << " left to do" << (dry ? "; nothing written" : "") << "\n";
  return migration.remaining_steps.empty() ? 0 : kPartlyMigrated;
}

int check_file(const std::string& path, bool strict) {
  const auto document = shorelead::language::check(path, shorelead::language::disk());
  for (const auto& problem : document.problems) std::cerr << problem.text();
  if (!document.problems.empty()) {
    std::cerr << document.problems.size() << (document.problems.size() == 1 ? " mistake\n" : " mistakes\n");
    return 1;
  }
  shorelead::node::load_shore(path, {}, shorelead::language::disk());  // semantic checks of the node
  for (const auto& warning : document.warnings) std::cerr << warning.text();
  if (strict && !document.warnings.empty()) return 1;
  std::cout << path << ": " << document.sections.size() << " blocks in " << document.files.size()
            << (document.files.size() == 1 ? " file" : " files") << ", no mistake";
  if (!document.warnings.empty())
    std::cout << ", " << document.warnings.size()
              << (document.warnings.size() == 1 ? " warning" : " warnings");
  std::cout << "\n";
  return 0;
}

// Prints the differences that affect traffic. Returns exit code 1 if there are any, as diff(1) does.
int print_difference(const std::string& before, const std::string& after, bool json) {
  const auto disk = shorelead::language::disk();
  const auto found = shorelead::node::differences(shorelead::node::load_shore(before, {}, disk),
                                                  shorelead::node::load_shore(after, {}, disk));
  if (json) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
    const auto text = [&out](const char* key, const std::string& value) {
      out.Key(key);
      value.empty() ? out.Null() : out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    out.StartArray();
    for (const auto& one : found) {
      out.StartObject();
      text("what", one.what);
      text("before", one.before);
      text("after", one.after);
      out.EndObject();
    }
    out.EndArray();
    std::cout << buffer.GetString() << "\n";
  } else {
    for (const auto& one : found) {
      std::cout << one.what << ": " << (one.before.empty() ? "(new)" : one.before) << " -> "
                << (one.after.empty() ? "(gone)" : one.after) << "\n";
    }
  }
  return found.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    CLI::App app("shorelead, a load-balancing proxy for fleets of HTTP servers", "shorelead");
    app.require_subcommand(1);
    ServeOptions options;
    CLI::App* const serving = app.add_subcommand("serve", "run one node until SIGTERM");
    add_options(*serving, options);
    CLI::App* const checking = app.add_subcommand("check-config", "read the configuration and report errors");
    add_options(*checking, options);
    CLI::App* const config = app.add_subcommand("config", "work on .shore files");
    config->require_subcommand(1);
    std::string file;
    bool only_check = false;
    bool in_place = false;
    CLI::App* const check =
        config->add_subcommand("check", "report all errors of a file and the files it includes");
    check->add_option("file", file)->required();
    bool strict = false;
    check->add_flag("--strict", strict, "exit code 1 on warnings as well");
    CLI::App* const format = config->add_subcommand("format", "print a file in the standard format");
    format->add_option("file", file)->required();
    auto* const checks =
        format->add_flag("--check", only_check, "only check the format: exit code 1 if it differs");
    format->add_flag("--write", in_place, "overwrite the file")->excludes(checks);
    CLI::App* const explaining =
        config->add_subcommand("explain", "show the route, class and limits of a request");
    std::string request;
    std::vector<std::string> headers;
    explaining->add_option("file", file)->required();
    explaining->add_option("--request", request, "as in: 'GET a.example.org/checks/7'")->required();
    explaining->add_option("--header", headers, "as in: 'X-Version: 2'");
    CLI::App* const diffing = config->add_subcommand(
        "diff", "show what changes for traffic: exit code 1 if anything does, 2 on an error");
    std::string before;
    std::string after;
    bool json = false;
    diffing->add_option("old", before)->required();
    diffing->add_option("new", after)->required();
    diffing->add_flag("--json", json);
    CLI::App* const migrating =
        config->add_subcommand("migrate",
                               "convert a platform's JSON for a node beside each client process: exit "
                               "code 3 if something is left to do");
    std::string output;
    bool dry = false;
    bool replace = false;
    shorelead::node::MigrationOptions migration_options;
    migrating->add_option("old", file)->required();
    migrating->add_option("--output", output, "output file; standard output by default");
    migrating->add_option("--nodes", migration_options.nodes, "number of client processes that have a node");
    migrating->add_option("--index", migration_options.index, "index of this client process, from 0");
    migrating->add_flag("--dry-run", dry, "only show what would change");
    migrating->add_flag("--replace", replace, "overwrite an existing --output file");
    CLI::App* const reference =
        config->add_subcommand("reference", "print all blocks and fields, as Markdown");
    reference->add_flag("--json", json, "for editors");
    CLI::App* const version = app.add_subcommand("version", "print the version");
    CLI11_PARSE(app, argc, argv);
    if (version->parsed()) {
      std::cout << "shorelead " << SHORELEAD_VERSION << "\n";
      return 0;
    }
    if (reference->parsed()) {
      std::cout << (json ? shorelead::language::reference_json() : shorelead::language::reference_page());
      return 0;
    }
    if (check->parsed()) return check_file(file, strict);
    if (migrating->parsed()) return migrate_file(file, output, dry, replace, migration_options);
    if (explaining->parsed())
      return shorelead::node::explain(shorelead::node::load_shore(file, {}, shorelead::language::disk()),
                                      request, headers, std::cout)
                 ? 0
                 : 1;
    if (diffing->parsed()) {
      try {
        return print_difference(before, after, json);
      } catch (const shorelead::FieldError& error) {
        std::cerr << error.what() << "\n";
        return 2;
      }
    }
    if (format->parsed()) return format_file(file, only_check, in_place);
    if (checking->parsed()) {
      const Config config = shorelead::node::load(options, false);
      std::cout << config.name << ": " << config.settings.classes.size() << " classes, "
                << config.known.backends.size() << " known backends, " << config.limits.sockets
                << " sockets\n";
      return 0;
    }
    return shorelead::node::serve(options);
  } catch (const Poco::Exception& error) {
    std::cerr << "shorelead: " << error.displayText() << "\n";
  } catch (const std::exception& error) {
    std::cerr << "shorelead: " << error.what() << "\n";
  }
  return 1;
}
