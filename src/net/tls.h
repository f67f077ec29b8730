// TLS as a filter between the bytes on a connection and the plaintext, with OpenSSL over memory buffers. Owns
// the keys, the handshake and the verification of the peer; does not touch sockets. No plaintext passes in
// either direction before the peer is verified.
//
// Requires TLS 1.2 or later (RFC 8446, RFC 5246 with RFC 9325). The peer's certificate must be signed by the
// CA file and match the address or name that was connected to (RFC 6125, RFC 9110 section 4.3.4).
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace shorelead::net {

// PEM files. `ca` holds the trusted authorities; `certificate` and `key` authenticate this side if the peer
// asks.
struct TlsFiles {
  std::string ca;
  std::string certificate;
  std::string key;
  std::string name;  // that the peer's certificate must have; if empty, its address

  bool operator==(const TlsFiles&) const = default;
};

// Keys read from files. refresh() reads them again if a file has changed; if that fails, the old keys stay.
class TlsContext {
 public:
  enum class Side { kClient, kServer };

  // Returns null and sets `cause` if the files are not usable. A server with `ca` requires client
  // certificates.
  static std::shared_ptr<TlsContext> load(const TlsFiles& files, Side side, std::string& cause);
  ~TlsContext();
  // Returns whether new keys were read; sets `cause` if files have changed but are not usable.
  bool refresh(std::string& cause);

 private:
  friend class TlsSession;
  struct Impl;
  TlsContext(const TlsFiles& files, Side side);
  std::unique_ptr<Impl> impl_;
};

// The TLS state of one connection.
class TlsSession {
 public:
  // `address`: the one connected to, without port. A client checks the certificate against it, or against the
  // name in TlsFiles.
  TlsSession(const TlsContext& context, const std::string& address);
  ~TlsSession();

  // Takes received bytes and appends their plaintext. Returns false if the connection has failed.
  bool feed(std::string_view came, std::string& plain);
  void write(std::string_view plain);  // buffered until the handshake is done
  std::string take();                  // bytes to send now
  bool ready() const;                  // the handshake is done and the peer is verified
  bool closed() const;                 // the peer sent close_notify
  const std::string& cause() const { return cause_; }

 private:
  bool continue_handshake();
  bool fail(const char* doing);

  struct Impl;
  std::unique_ptr<Impl> impl_;
  std::string pending_plaintext_;
  std::string cause_;
};

}  // namespace shorelead::net
