// The watch on discovery's list of backends: one chunked response that stays open and carries a sequence of
// JSON objects, each ended by a newline; blank lines are keep-alives. Owns the connection, the last version
// received and the timeouts. It does not interpret changes, and does not reconnect by itself.
#pragma once

#include <functional>
#include <memory>
#include <random>

#include "node/config.h"
#include "node/list_reader.h"
#include "node/list_stream.h"
#include "node/net.h"

namespace shorelead::node {

class Discovery : public Stream::Handler {
 public:
  struct Listener {
    std::function<void(const List&)> changed;
    std::function<void(Ending)> ended;
    // All input so far has been processed and nothing is pending. `first`: for the first time in this call,
    // so that the list was complete at some time after the call began.
    std::function<void(bool first)> current = [](bool) {};
    std::function<void()> unfinished = [] {};  // a list has arrived in part
    std::function<void()> asked = [] {};       // a call begins
  };

  struct Waits {
    Millis connect = 1000;
    // For the response's head. Discovery queues calls and rejects them itself after 2 s, so this is for one
    // that does not respond at all.
    Millis first = 3000;
    // Discovery sends an empty line every 2 s. A watch silent for longer than this is dead, even if its
    // connection is open.
    Millis silence = 3000;
  };

  Discovery(Loop& loop, const Poco::Net::SocketAddress& address, std::uint64_t version, Listener listener)
      : Discovery(loop, address, version, std::move(listener), Waits()) {}
  Discovery(Loop& loop, const Poco::Net::SocketAddress& address, std::uint64_t version, Listener listener,
            const Waits& waits);

  ~Discovery() override;

  // Reopens the watch from the last version received; does nothing if it is open.
  void watch();
  // Closes the watch and opens one from version 0, which brings the whole list.
  void watch_anew();
  // Discovery's address has changed: closes the watch on the old address without calling `ended`, and opens
  // one on the new from the last version received.
  void move(const Poco::Net::SocketAddress& address);
  bool watching() const { return stream_ != nullptr; }
  std::uint64_t version() const { return version_; }
  Millis last_told() const { return last_told_; }  // when any part of a response arrived; 0 = never
  bool listed() const { return listed_; }          // a list, or a sign that nothing has changed, was received
  std::uint64_t opened() const { return opened_; }

  // State of the last call when it ended, for the log.
  struct CallEnd {
    Millis after = 0;            // how long the call lasted
    Millis silent = 0;           // time since its last byte, or since its start
    std::size_t unfinished = 0;  // bytes of an incomplete list
    bool answered = false;       // a list or keep-alive was received whole
  };
  const CallEnd& last_end() const { return last_end_; }

 private:
  void on_connected(Stream&) override;
  void on_input(Stream& stream) override;
  void on_end(Stream& stream, Ending ending) override;
  bool trickles();
  void take_lists();
  void take_text(std::string text);
  void read_slice();
  void take(const List& list);
  void refuse(const FieldError& error);
  void taken_in();
  void expect(Millis wait, Ending otherwise);
  void leave();
  void end(Ending ending);

  Loop& loop_;
  Poco::Net::SocketAddress address_;
  Listener listener_;
  const Waits waits_;
  std::uint64_t version_;
  std::shared_ptr<Stream> stream_;
  Parser parser_{Parser::Kind::kResponse, kMostBytes};
  ListStream come_;                     // received and not yet parsed
  std::unique_ptr<ListReader> reader_;  // a long list, parsed in slices; later lists wait for it
  Loop::TimerId slice_ = 0;
  Loop::TimerId deadline_ = 0;
  Millis last_told_ = 0;
  bool answered_ = false;  // the response's head was received
  Millis begun_at_ = 0;    // when the first part of the incomplete list arrived; 0 = there is none
  bool listed_ = false;
  std::uint64_t opened_ = 0;
  Millis called_at_ = 0;
  bool current_ = false;  // `current` was called for this call
  Millis heard_at_ = 0;   // when the last byte arrived, or the call began
  CallEnd last_end_;
  static constexpr std::size_t kMostBytes = 8U << 20;
};

}  // namespace shorelead::node
