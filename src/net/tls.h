// TLS as a filter between bytes of a connection and bytes of what it carries, by OpenSSL over memory. Owns
// keys, the handshake and the check of the other side. It must never touch a socket, and never let a byte
// through in either direction before the other side has proved who it is.
//
// At least TLS 1.2 (RFC 8446, RFC 5246 after RFC 9325). The other side's certificate must come from the CA
// file and name the address or name that was dialled (RFC 6125, RFC 9110 section 4.3.4).
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace shorelead::net {

// Files in PEM. `ca` says whom to believe; `certificate` and `key` prove who we are, where that is asked for.
struct TlsFiles {
  std::string ca;
  std::string certificate;
  std::string key;
  std::string name;  // that the other side's certificate must have; empty: its address

  bool operator==(const TlsFiles&) const = default;
};

// Keys read from files, and read again by refresh() when one has changed. One that cannot be read then
// changes nothing.
class TlsContext {
 public:
  enum class Side { kClient, kServer };

  // Nothing and the cause where the files are of no use. A server with `ca` asks clients for certificates.
  static std::shared_ptr<TlsContext> load(const TlsFiles& files, Side side, std::string& cause);
  ~TlsContext();
  // Whether new keys were read; the cause where files have changed and are of no use.
  bool refresh(std::string& cause);

 private:
  friend class TlsSession;
  struct Impl;
  TlsContext(const TlsFiles& files, Side side);
  std::unique_ptr<Impl> impl_;
};

// One connection.
class TlsSession {
 public:
  // `address` as dialled, without its port; a client checks the certificate against it, or against the name
  // that the files tell.
  TlsSession(const TlsContext& context, const std::string& address);
  ~TlsSession();

  // Takes what came in and appends what it carries. False where the connection is of no use any more.
  bool feed(std::string_view came, std::string& plain);
  void write(std::string_view plain);  // kept until the handshake is done
  std::string take();                  // what is to go out now
  bool ready() const;                  // the handshake is done and the other side is who it should be
  bool closed() const;                 // the other side said goodbye
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
