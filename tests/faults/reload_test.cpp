// A reload whose file cannot be read for a moment still takes effect.
#include <gtest/gtest.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "faults/node_with_faults.h"

namespace shorelead::node {
namespace {

using faults::Call;
using faults::fail_next;

TEST(Reload, AFileThatCannotBeReadIsRetried) {
  for (const Call call : {Call::kOpen, Call::kReadFile}) {
    std::string folder = testing::TempDir() + "shorelead-XXXXXX";
    ASSERT_NE(::mkdtemp(folder.data()), nullptr);
    const std::string path = folder + "/config.json";
    std::ofstream(path) << "{}";
    Peer elsewhere;
    NodeWithFaults node;
    Config next = node.config;
    next.discovery = Poco::Net::SocketAddress("127.0.0.1", elsewhere.port());
    node.read_again = [&] {
      try {
        load_config(path, {}, {}, true);
      } catch (const UnreadableConfig&) {
        throw;
      } catch (const FieldError&) {
        // The file was read; its content does not matter here.
      }
      return next;
    };
    node.start();
    Line watch = node.discovery.accept();
    fail_next(call, EIO, 10);
    ::kill(::getpid(), SIGHUP);
    EXPECT_FALSE(elsewhere.accept().request().empty()) << name_of(call);
    node.stop();
    std::filesystem::remove_all(folder);
  }
}

}  // namespace
}  // namespace shorelead::node
