#include "net/tls.h"

#include <arpa/inet.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <array>
#include <utility>

namespace shorelead::net {
namespace {

constexpr std::size_t kChunkBytes = 16384;

struct Deleter {
  void operator()(SSL_CTX* p) const { SSL_CTX_free(p); }
  void operator()(SSL* p) const { SSL_free(p); }
};

// Returns the oldest error in OpenSSL's queue, and clears the queue.
std::string last_error() {
  std::array<char, 256> text{};
  const unsigned long code = ERR_get_error();
  ERR_error_string_n(code, text.data(), text.size());
  ERR_clear_error();
  return code == 0 ? "unknown" : text.data();
}

bool is_address(const std::string& text) {
  std::array<unsigned char, 16> bytes{};
  return ::inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
         ::inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

// Modification time and inode, to detect that a file has changed.
std::pair<long long, long long> fingerprint_of(const std::string& path) {
  struct stat found {};
  if (path.empty() || ::stat(path.c_str(), &found) != 0) return {0, 0};
  return {static_cast<long long>(found.st_mtim.tv_sec) * 1000000000LL + found.st_mtim.tv_nsec,
          static_cast<long long>(found.st_ino)};
}

}  // namespace

struct TlsContext::Impl {
  TlsFiles files;
  Side side = Side::kClient;
  std::unique_ptr<SSL_CTX, Deleter> context;
  std::array<std::pair<long long, long long>, 3> fingerprints;

  std::array<std::pair<long long, long long>, 3> current_fingerprints() const {
    return {fingerprint_of(files.ca), fingerprint_of(files.certificate), fingerprint_of(files.key)};
  }

  std::unique_ptr<SSL_CTX, Deleter> read(std::string& cause) const {
    const bool client = side == Side::kClient;
    std::unique_ptr<SSL_CTX, Deleter> fresh(SSL_CTX_new(client ? TLS_client_method() : TLS_server_method()));
    if (!fresh) return cause = "TLS: " + last_error(), nullptr;
    SSL_CTX_set_min_proto_version(fresh.get(), TLS1_2_VERSION);
    SSL_CTX_set_verify(fresh.get(), SSL_VERIFY_NONE, nullptr);
    if (client && files.ca.empty()) return cause = "a CA file is needed to know the other side", nullptr;
    if (!files.ca.empty()) {
      if (SSL_CTX_load_verify_locations(fresh.get(), files.ca.c_str(), nullptr) != 1) {
        return cause = files.ca + ": " + last_error(), nullptr;
      }
      SSL_CTX_set_verify(fresh.get(), SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
    }
    if (files.certificate.empty() != files.key.empty()) {
      return cause = "a certificate and its key go together", nullptr;
    }
    if (files.certificate.empty()) return fresh;
    if (SSL_CTX_use_certificate_chain_file(fresh.get(), files.certificate.c_str()) != 1) {
      return cause = files.certificate + ": " + last_error(), nullptr;
    }
    if (SSL_CTX_use_PrivateKey_file(fresh.get(), files.key.c_str(), SSL_FILETYPE_PEM) != 1) {
      return cause = files.key + ": " + last_error(), nullptr;
    }
    if (SSL_CTX_check_private_key(fresh.get()) != 1) {
      return cause = files.key + " is not the key of " + files.certificate, nullptr;
    }
    return fresh;
  }
};

TlsContext::TlsContext(const TlsFiles& files, Side side) : impl_(std::make_unique<Impl>()) {
  impl_->files = files;
  impl_->side = side;
}
TlsContext::~TlsContext() = default;

std::shared_ptr<TlsContext> TlsContext::load(const TlsFiles& files, Side side, std::string& cause) {
  std::shared_ptr<TlsContext> made(new TlsContext(files, side));
  made->impl_->fingerprints = made->impl_->current_fingerprints();
  made->impl_->context = made->impl_->read(cause);
  return made->impl_->context ? made : nullptr;
}

bool TlsContext::refresh(std::string& cause) {
  const auto fingerprints = impl_->current_fingerprints();
  if (fingerprints == impl_->fingerprints) return false;
  impl_->fingerprints = fingerprints;
  auto fresh = impl_->read(cause);
  if (!fresh) return false;
  impl_->context = std::move(fresh);
  return true;
}

struct TlsSession::Impl {
  std::unique_ptr<SSL, Deleter> ssl;
  BIO* in = nullptr;   // owned by ssl
  BIO* out = nullptr;  // owned by ssl
  bool closed = false;
};

TlsSession::TlsSession(const TlsContext& context, const std::string& address)
    : impl_(std::make_unique<Impl>()) {
  const TlsContext::Impl& from = *context.impl_;
  impl_->ssl.reset(SSL_new(from.context.get()));
  impl_->in = BIO_new(BIO_s_mem());
  impl_->out = BIO_new(BIO_s_mem());
  SSL_set_bio(impl_->ssl.get(), impl_->in, impl_->out);
  SSL* const ssl = impl_->ssl.get();
  if (from.side == TlsContext::Side::kServer) {
    SSL_set_accept_state(ssl);
  } else {
    SSL_set_connect_state(ssl);
    const std::string& wanted = from.files.name.empty() ? address : from.files.name;
    if (is_address(wanted)) {
      X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(ssl), wanted.c_str());
    } else {
      SSL_set_hostflags(ssl, X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS);
      SSL_set1_host(ssl, wanted.c_str());
      SSL_set_tlsext_host_name(ssl, wanted.c_str());
    }
  }
  continue_handshake();
}

TlsSession::~TlsSession() = default;

bool TlsSession::fail(const char* doing) {
  if (!cause_.empty()) return false;
  const long verdict = SSL_get_verify_result(impl_->ssl.get());
  const std::string error = last_error();
  cause_ = std::string(doing) + ": " +
           (verdict != X509_V_OK ? X509_verify_cert_error_string(verdict) : error.c_str());
  return false;
}

// Continues the handshake as far as the received bytes allow.
bool TlsSession::continue_handshake() {
  SSL* const ssl = impl_->ssl.get();
  if (!SSL_is_init_finished(ssl)) {
    ERR_clear_error();
    const int result = SSL_do_handshake(ssl);
    if (result != 1) {
      const int why = SSL_get_error(ssl, result);
      return why == SSL_ERROR_WANT_READ || why == SSL_ERROR_WANT_WRITE ? true : fail("handshake");
    }
  }
  const std::string pending = std::exchange(pending_plaintext_, {});
  if (!pending.empty()) write(pending);
  return cause_.empty();
}

bool TlsSession::feed(std::string_view came, std::string& plain) {
  if (!cause_.empty()) return false;
  while (!came.empty()) {
    const int taken =
        BIO_write(impl_->in, came.data(), static_cast<int>(std::min<std::size_t>(came.size(), kChunkBytes)));
    if (taken <= 0) return fail("taking in");
    came.remove_prefix(static_cast<std::size_t>(taken));
  }
  if (!continue_handshake()) return false;
  if (!ready()) return true;
  std::array<char, kChunkBytes> part;
  while (true) {
    ERR_clear_error();
    const int got = SSL_read(impl_->ssl.get(), part.data(), static_cast<int>(part.size()));
    if (got > 0) {
      plain.append(part.data(), static_cast<std::size_t>(got));
      continue;
    }
    const int why = SSL_get_error(impl_->ssl.get(), got);
    if (why == SSL_ERROR_WANT_READ || why == SSL_ERROR_WANT_WRITE) return true;
    if (why == SSL_ERROR_ZERO_RETURN) {
      impl_->closed = true;
      return true;
    }
    return fail("reading");
  }
}

void TlsSession::write(std::string_view plain) {
  if (!cause_.empty()) return;
  if (!ready()) {
    pending_plaintext_.append(plain);
    return;
  }
  while (!plain.empty()) {
    ERR_clear_error();
    const int done = SSL_write(impl_->ssl.get(), plain.data(),
                               static_cast<int>(std::min<std::size_t>(plain.size(), kChunkBytes)));
    if (done <= 0) {
      fail("writing");
      return;
    }
    plain.remove_prefix(static_cast<std::size_t>(done));
  }
}

std::string TlsSession::take() {
  std::string out;
  std::array<char, kChunkBytes> part;
  for (int got = 0; (got = BIO_read(impl_->out, part.data(), static_cast<int>(part.size()))) > 0;) {
    out.append(part.data(), static_cast<std::size_t>(got));
  }
  return out;
}

bool TlsSession::ready() const { return cause_.empty() && SSL_is_init_finished(impl_->ssl.get()) == 1; }
bool TlsSession::closed() const { return impl_->closed; }

}  // namespace shorelead::net
