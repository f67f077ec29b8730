#include "node/serve.h"

#include <Poco/Exception.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <system_error>
#include <thread>

#include "node/inherited_descriptors.h"
#include "node/language_binding.h"
#include "node/log_output.h"
#include "node/platform_file.h"
#include "node/processor_time.h"
#include "node/server.h"

namespace shorelead::node {
namespace {

// Descriptors, memory or files may be unavailable for a moment. Nine in ten starts have 10 s.
constexpr int kMaxStartAttempts = 100;
constexpr std::chrono::milliseconds kStartRetryInterval{20};

std::string environment_variable(const char* name) {
  const char* const value = std::getenv(name);
  return value == nullptr ? "" : value;
}

bool is_transient(int error) {
  return error == EINTR || error == EAGAIN || error == EMFILE || error == ENFILE || error == ENOBUFS ||
         error == ENOMEM || error == ENOSPC || error == EIO;
}

// Runs a step of the start, and repeats it for a while after transient errors of the system.
template <typename Step>
auto with_retries(Step step) {
  for (int n = 1;; ++n) {
    try {
      return step();
    } catch (const UnreadableConfig& error) {
      if (n == kMaxStartAttempts) throw;
      spdlog::warn("start: {}", error.what());
    } catch (const std::system_error& error) {
      if (n == kMaxStartAttempts || !is_transient(error.code().value())) throw;
      spdlog::warn("start: {}", error.what());
    } catch (const Poco::IOException& error) {
      if (n == kMaxStartAttempts || !is_transient(error.code())) throw;
      spdlog::warn("start: {}", error.displayText());
    }
    std::this_thread::sleep_for(kStartRetryInterval);
  }
}

// Returns the directory shared between the processes of a node, and the state that a running process hands
// over, if there is one; its list of backends replaces the configured one.
Server::RestartContext inherit_state(Config& config) {
  constexpr double kHandoverTimeout = 1500;  // ms, for the other process to answer
  Server::RestartContext context;
  context.directory = environment_variable("TMPDIR");
  if (context.directory.empty()) return context;
  try {
    context.inherited = handover::request_handover(context.socket_path(), kHandoverTimeout);
  } catch (const std::system_error& error) {
    spdlog::warn("cannot request a handover: {}", error.what());
  }
  if (!context.inherited) return context;
  spdlog::info("took over the listening socket of the running process");
  try {
    const auto list = read_list(context.inherited->list);
    if (!list.backends.empty()) config.known = list;
  } catch (const std::exception& error) {
    spdlog::warn("cannot read its list of backends, using the configured one: {}", error.what());
  }
  return context;
}

}  // namespace

Config load(const ServeOptions& options, bool is_reload) {
  const Overrides from_environment{environment_variable("NODE_NAME"), environment_variable("NODE_LISTEN"),
                                   environment_variable("NODE_DISCOVERY"), environment_variable("NODE_MGMT")};
  if (is_shore(options.config)) {
    if (!options.own.empty())
      throw FieldError("--own is only for the platform's JSON; a .shore file has these settings itself");
    return load_shore(options.config, merge(options.flags, from_environment, is_reload), language::disk());
  }
  Config config = load_config(options.config, options.flags, from_environment, is_reload);
  load_platform_file(options.own, config);
  return config;
}

int serve(const ServeOptions& options) {
  begin_processor_time();
  reset_inherited_descriptors();
  Loop::block_signals();
  const auto output = std::make_shared<LogOutput>(STDOUT_FILENO);
  spdlog::set_default_logger(std::make_shared<spdlog::logger>("shorelead", output));
  Config config = with_retries([&] { return load(options, false); });
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(config.name, output));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %n %l %v");
  spdlog::set_level(spdlog::level::from_str(options.log_level));
  spdlog::flush_on(spdlog::level::info);
  const std::unique_ptr<Loop> loop = with_retries([] { return std::make_unique<Loop>(); });
  Server::RestartContext context;
  if (config.admin) context = inherit_state(config);
  const auto make_server = [&] {
    return std::make_unique<Server>(*loop, config, Server::Timeouts(), context);
  };
  // The inherited descriptors can be used only once, so this is not retried.
  const std::unique_ptr<Server> owned = context.inherited ? make_server() : with_retries(make_server);
  Server& server = *owned;
  server.recorder().write_at_crash();
  with_retries([&] {
    loop->on_signals([&server, &options](int signal) {
      if (signal == SIGUSR1) return server.log_counters();
      if (signal == SIGHUP) return server.reload([&options] { return load(options, true); });
      server.shut_down();
    });
  });
  for (const std::string& warning : config.warnings) spdlog::warn("configuration: {}", warning);
  // From here on every accepted request must be answered.
  with_retries([&server] { server.open(); });
  spdlog::info("listening after {:.1f} ms of processor time", processor_time());
  if (config.pools.empty()) {
    spdlog::info("serving on {}, discovery at {}, list {} with {} backends", config.listen.toString(),
                 config.discovery.toString(), config.known.version, config.known.backends.size());
  } else {
    spdlog::info("serving on {}, {} pools, {} routes", config.listen.toString(), config.pools.size(),
                 config.routes ? config.routes->routes.size() : 0);
  }
  loop->run();
  server.log_counters();
  return 0;
}

}  // namespace shorelead::node
