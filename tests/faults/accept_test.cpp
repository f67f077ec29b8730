// Accepting clients while accept() fails, also at the end of a process: clients in the queue are connected,
// and may have sent a request.
#include <gtest/gtest.h>
#include <sys/un.h>

#include <cerrno>
#include <cstring>

#include "faults/fault_plan.h"
#include "handover/handover.h"
#include "node/acceptor.h"
#include "node/admin_server.h"
#include "peer.h"

namespace shorelead::node {
namespace {

using faults::Call;
using faults::fail_next;

struct AcceptorCase {
  AcceptorCase() { acceptor.open(); }
  ~AcceptorCase() {
    for (const int fd : taken) ::close(fd);
    faults::clear();
  }
  // Ends a test that hangs after kHangSeconds.
  void run_until_closed() {
    if (acceptor.listening() < 0) return;
    loop.after(1000.0 * kHangSeconds, [this] { loop.stop(); });
    stop_when_closed();
    loop.run();
  }
  void stop_when_closed() {
    loop.after(1, [this] { acceptor.listening() < 0 ? loop.stop() : stop_when_closed(); });
  }

  const faults::InjectInThisThread strike;
  Loop loop;
  std::vector<int> taken;
  Acceptor acceptor{loop,
                    Poco::Net::SocketAddress("127.0.0.1", 0),
                    {[this](int fd) { taken.push_back(fd); }, [] { return true; }, [] { return false; }}};
};

TEST(Accept, QueuedClientsAreAcceptedAtTheEndDespiteErrors) {
  for (const int error : {EINTR, ECONNABORTED, EPROTO, ENETUNREACH, EHOSTUNREACH, ENETDOWN, EPERM, ETIMEDOUT,
                          EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    for (const int times : {1, 3}) {
      AcceptorCase acceptor_case;
      const Line one = Line::connect(acceptor_case.acceptor.port());
      const Line two = Line::connect(acceptor_case.acceptor.port());
      fail_next(Call::kAccept, error, times, 1);
      acceptor_case.acceptor.close();
      acceptor_case.run_until_closed();
      EXPECT_EQ(acceptor_case.taken.size(), 2U) << error << " " << times << " times";
      EXPECT_LT(acceptor_case.acceptor.listening(), 0) << "closed once all are accepted";
    }
  }
}

TEST(Accept, ClosingBeforeOpeningLeavesNoClientInTheBacklog) {
  Loop loop;
  Acceptor acceptor(loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                    {[](int fd) { ::close(fd); }, [] { return true; }, [] { return false; }});
  const net::Descriptor client(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(acceptor.port());
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(::connect(client.fd(), reinterpret_cast<sockaddr*>(&to), sizeof to), -1)
      << "it does not listen yet";
  EXPECT_EQ(errno, ECONNREFUSED);
  acceptor.close();
  acceptor.open();
  EXPECT_LT(acceptor.listening(), 0);
}

// While there is no descriptor for a caller of the admin server, the loop does not spin.
TEST(Accept, AnUnacceptableCallerDoesNotSpinTheLoop) {
  const faults::InjectInThisThread strike;
  Loop loop;
  AdminServer admin_server(loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                           [](const manage::Call&) { return std::string(); });
  const Line caller = Line::connect(admin_server.port());
  fail_next(Call::kAccept, EMFILE, 1'000'000);
  loop.after(200, [&loop] { loop.stop(); });
  loop.run();
  EXPECT_LT(loop.wakeups(), 100U);
  EXPECT_GT(faults::injected_count(Call::kAccept), 0U);
  faults::clear();
}

// The same for a successor process.
TEST(Accept, AnUnacceptableSuccessorDoesNotSpinTheLoop) {
  const faults::InjectInThisThread strike;
  Loop loop;
  const std::string path = testing::TempDir() + "shorelead-accept-" + std::to_string(::getpid());
  handover::HandoverServer predecessor(loop, path, {});
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::strncpy(address.sun_path, path.c_str(), sizeof address.sun_path - 1);
  const net::Descriptor successor(::socket(AF_UNIX, SOCK_STREAM, 0));
  ASSERT_EQ(::connect(successor.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  fail_next(Call::kAccept, EMFILE, 1'000'000);
  loop.after(200, [&loop] { loop.stop(); });
  loop.run();
  EXPECT_LT(loop.wakeups(), 100U);
  EXPECT_GT(faults::injected_count(Call::kAccept), 0U);
  faults::clear();
  ::unlink(path.c_str());
}

}  // namespace
}  // namespace shorelead::node
