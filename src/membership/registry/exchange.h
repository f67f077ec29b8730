// One POST request to a registry's gateway and its response, read whole or as a stream that stays open. Owns
// the connection and the HTTP framing. It does not interpret bodies, and makes no calls after its
// destruction.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <functional>
#include <memory>
#include <string>

#include "net/http.h"
#include "net/loop.h"
#include "net/stream.h"
#include "net/tls.h"

namespace shorelead::membership::registry {

class Exchange : public net::Stream::Handler {
 public:
  struct Listener {
    // The whole response; the connection may be reused.
    std::function<void(int status, std::string body)> answered;
    std::function<void(std::string part)> part;  // of a stream with status 200
    std::function<void(net::Ending)> ended;      // before, or after, a whole response
  };

  // With `tls` all traffic is encrypted.
  Exchange(net::Loop& loop, const Poco::Net::SocketAddress& address, Listener listener,
           std::shared_ptr<const net::TlsContext> tls = nullptr);
  ~Exchange() override;

  // `path` as in "/v3/kv/range"; with `stream` the body is passed on as it arrives. `within`: time limit for
  // the whole response, or for the head of a stream.
  void post(const std::string& path, const std::string& body, bool stream, Millis within);
  // Ends the call unless something arrives within this time; 0 = no limit.
  void expect(Millis within);
  const std::string& trouble() const { return trouble_; }  // the TLS error that ended the call
  bool usable() const { return stream_ && stream_->open() && !busy_; }

 private:
  void on_connected(net::Stream&) override;
  void on_input(net::Stream& stream) override;
  void on_end(net::Stream&, net::Ending ending) override;
  void read_response(bool over);
  void write_request();
  bool decrypt();
  void end(net::Ending ending);

  net::Loop& loop_;
  const Poco::Net::SocketAddress address_;
  Listener listener_;
  std::shared_ptr<net::Stream> stream_;
  net::Parser parser_;
  const std::shared_ptr<const net::TlsContext> tls_;
  // Shared: unique_ptr would need the destructor, which a build without TLS lacks.
  std::shared_ptr<net::TlsSession> session_;
  std::string decrypted_;  // input, decrypted
  std::string trouble_;
  std::string request_;
  bool streaming_ = false;
  bool busy_ = false;
  net::Loop::TimerId deadline_ = 0;
};

}  // namespace shorelead::membership::registry
