// The watch on discovery's list: one chunked answer that stays open and holds one JSON object after another,
// each ended by a line end; blank lines show that it lives. It owns that connection, the version reached and
// the signs of life. It must never decide what a change means, and where the module says when to ask it never
// asks by itself.
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
    // All that has come was taken in, and nothing has begun to come behind it; `first` of this call, which
    // was begun then.
    std::function<void(bool first)> current = [](bool) {};
    std::function<void()> unfinished = [] {};  // a list has begun to come, and is not whole
    std::function<void()> asked = [] {};       // a call begins
  };

  struct Waits {
    Millis connect = 1000;
    // Calls wait in turn at discovery, which gives them up itself after 2 s; this is for one that is silent
    // altogether.
    Millis first = 3000;
    // An empty line comes each 2 s: a watch silent for longer than this is dead, though its connection
    // stands.
    Millis silence = 3000;
  };

  Discovery(Loop& loop, const Poco::Net::SocketAddress& address, std::uint64_t version, Listener listener)
      : Discovery(loop, address, version, std::move(listener), Waits()) {}
  Discovery(Loop& loop, const Poco::Net::SocketAddress& address, std::uint64_t version, Listener listener,
            const Waits& waits);

  ~Discovery() override;

  // Opens the watch anew from the version reached; nothing if it stands.
  void watch();
  // Leaves the watch and opens one for the whole list.
  void watch_anew();
  // Discovery is now found there: leaves a watch on the old address without a word and opens one on the new,
  // from the version reached.
  void move(const Poco::Net::SocketAddress& address);
  bool watching() const { return stream_ != nullptr; }
  std::uint64_t version() const { return version_; }
  Millis last_told() const { return last_told_; }  // when anything of an answer came; 0 = never
  bool listed() const { return listed_; }          // a list, or a sign that there is no news, came whole
  std::uint64_t opened() const { return opened_; }

  // How the last call stood when it ended, for the log.
  struct CallEnd {
    Millis after = 0;            // it was begun
    Millis silent = 0;           // since its last byte, or its begin
    std::size_t unfinished = 0;  // bytes of a list that has not come whole
    bool answered = false;       // it had brought something whole
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
  ListStream come_;                     // and was not read
  std::unique_ptr<ListReader> reader_;  // a long list, read in slices; those behind it wait
  Loop::TimerId slice_ = 0;
  Loop::TimerId deadline_ = 0;
  Millis last_told_ = 0;
  bool answered_ = false;  // a head has come
  Millis begun_at_ = 0;    // when the list that has come in part began; 0 = none has
  bool listed_ = false;
  std::uint64_t opened_ = 0;
  Millis called_at_ = 0;
  bool current_ = false;  // told so of this call
  Millis heard_at_ = 0;   // a byte, or the call's begin
  CallEnd last_end_;
  static constexpr std::size_t kMostBytes = 8U << 20;
};

}  // namespace shorelead::node
