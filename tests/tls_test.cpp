// TLS sessions: client and server connected in memory with bytes split into parts of any size, and an
// exchange with a registry over loopback. The test generates its keys.
#include "net/tls.h"

#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <filesystem>
#include <thread>

#include "membership/registry/exchange.h"
#include "peer.h"

namespace shorelead::net {
namespace {

namespace fs = std::filesystem;

// A certificate for `name` (DNS name or address), signed by `issuer` or self-signed.
struct Identity {
  EVP_PKEY* key = EVP_EC_gen("P-256");
  X509* certificate = X509_new();

  Identity(const std::string& name, const Identity* issuer, long serial) {
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
    X509_set_pubkey(certificate, key);
    X509_NAME* const subject = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate, X509_get_subject_name(issuer ? issuer->certificate : certificate));
    const bool address = name.find_first_not_of("0123456789.") == std::string::npos;
    extend(NID_basic_constraints, issuer ? "critical,CA:FALSE" : "critical,CA:TRUE");
    if (issuer) extend(NID_subject_alt_name, (address ? "IP:" : "DNS:") + name);
    X509_sign(certificate, issuer ? issuer->key : key, EVP_sha256());
  }
  ~Identity() {
    X509_free(certificate);
    EVP_PKEY_free(key);
  }
  void extend(int what, const std::string& value) const {
    X509_EXTENSION* const made = X509V3_EXT_conf_nid(nullptr, nullptr, what, value.c_str());
    ASSERT_NE(made, nullptr);
    X509_add_ext(certificate, made, -1);
    X509_EXTENSION_free(made);
  }
  void write(const std::string& path) const {
    FILE* const c = std::fopen((path + ".pem").c_str(), "w");
    PEM_write_X509(c, certificate);
    std::fclose(c);
    FILE* const k = std::fopen((path + ".key").c_str(), "w");
    PEM_write_PrivateKey(k, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(k);
  }
};

struct Keys {
  Keys() {
    std::string name = (fs::temp_directory_path() / "shorelead-tls-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr) path = name;
    ca.write(at("ca"));
    other_ca.write(at("other_ca"));
    Identity("127.0.0.1", &ca, 3).write(at("server"));
    Identity("node", &ca, 4).write(at("client"));
  }
  ~Keys() { fs::remove_all(path); }
  std::string at(const std::string& name) const { return path + "/" + name; }
  TlsFiles files(const std::string& ca_name, const std::string& own, const std::string& name = "") const {
    return {ca_name.empty() ? "" : at(ca_name) + ".pem", own.empty() ? "" : at(own) + ".pem",
            own.empty() ? "" : at(own) + ".key", name};
  }

  std::string path;
  Identity ca{"our ca", nullptr, 1};
  Identity other_ca{"another ca", nullptr, 2};
};

std::shared_ptr<TlsContext> context(const TlsFiles& files, TlsContext::Side side) {
  std::string cause;
  auto made = TlsContext::load(files, side, cause);
  EXPECT_TRUE(made) << cause;
  return made;
}

// A client and a server session. run() exchanges bytes in parts of `part` until both are idle.
struct SessionPair {
  SessionPair(const TlsContext& client_context, const TlsContext& server_context,
              const std::string& address = "127.0.0.1")
      : client(client_context, address), server(server_context, "") {}

  void run(std::size_t part) {
    const auto carry = [part](TlsSession& from, TlsSession& to, std::string& plain) {
      const std::string out = from.take();
      for (std::size_t at = 0; at < out.size(); at += part)
        to.feed(std::string_view(out).substr(at, part), plain);
      return !out.empty();
    };
    for (bool any = true; any;) {
      any = carry(client, server, at_server);
      any = carry(server, client, at_client) || any;
    }
  }

  TlsSession client;
  TlsSession server;
  std::string at_client;
  std::string at_server;
};

TEST(Tls, CarriesDataBothWaysHoweverBytesAreSplit) {
  const Keys keys;
  const auto c = context(keys.files("ca", "client"), TlsContext::Side::kClient);
  const auto s = context(keys.files("ca", "server"), TlsContext::Side::kServer);
  for (const std::size_t part : {1, 2, 7, 1000, 100000}) {
    SessionPair pair(*c, *s);
    const std::string large(70000, 'x');
    pair.client.write("before the handshake, " + large);
    pair.run(part);
    ASSERT_TRUE(pair.client.ready()) << pair.client.cause();
    ASSERT_TRUE(pair.server.ready()) << pair.server.cause();
    pair.server.write("answer");
    pair.run(part);
    EXPECT_EQ(pair.at_server, "before the handshake, " + large);
    EXPECT_EQ(pair.at_client, "answer");
  }
}

// No plaintext passes if the peer is not verified, and the cause names the reason.
TEST(Tls, AWrongCertificateIsRefusedWithACause) {
  const Keys keys;
  const struct {
    TlsFiles client;
    TlsFiles server;
    const char* address;
    bool refused_by_client;
    const char* words;
  } cases[] = {
      {keys.files("other_ca", ""), keys.files("", "server"), "127.0.0.1", true, "unable to get local issuer"},
      {keys.files("ca", ""), keys.files("", "server"), "127.0.0.2", true, "IP address mismatch"},
      {keys.files("ca", "", "registry.example.org"), keys.files("", "server"), "127.0.0.1", true,
       "ostname mismatch"},
      {keys.files("ca", ""), keys.files("ca", "server"), "127.0.0.1", false, "did not return a certificate"},
  };
  for (const auto& one : cases) {
    const auto c = context(one.client, TlsContext::Side::kClient);
    const auto s = context(one.server, TlsContext::Side::kServer);
    SessionPair pair(*c, *s, one.address);
    pair.client.write("secret");
    pair.run(100000);
    const TlsSession& refuses = one.refused_by_client ? pair.client : pair.server;
    EXPECT_FALSE(refuses.ready());
    EXPECT_NE(refuses.cause().find(one.words), std::string::npos) << refuses.cause();
    EXPECT_EQ(pair.at_server, "");
  }
}

TEST(Tls, UnusableFilesAreReported) {
  const Keys keys;
  const std::pair<TlsFiles, const char*> cases[] = {
      {{"", "", "", ""}, "a CA file is needed"},
      {{keys.at("nothing"), "", "", ""}, "nothing"},
      {{keys.at("ca.pem"), keys.at("client.pem"), "", ""}, "go together"},
      {{keys.at("ca.pem"), keys.at("client.pem"), keys.at("server.key"), ""}, "server.key"}};
  for (const auto& [files, words] : cases) {
    std::string cause;
    EXPECT_FALSE(TlsContext::load(files, TlsContext::Side::kClient, cause));
    EXPECT_NE(cause.find(words), std::string::npos) << cause;
  }
}

// Keys are reloaded when a file has changed; a bad file changes nothing.
TEST(Tls, ChangedKeysAreReloadedAndBadOnesIgnored) {
  const Keys keys;
  const auto c = context(keys.files("ca", ""), TlsContext::Side::kClient);
  const auto s = context(keys.files("", "server"), TlsContext::Side::kServer);
  std::string cause;
  EXPECT_FALSE(c->refresh(cause));
  Identity("127.0.0.1", &keys.other_ca, 5).write(keys.at("server"));
  EXPECT_TRUE(s->refresh(cause)) << cause;
  SessionPair refused(*c, *s);
  refused.run(100000);
  EXPECT_FALSE(refused.client.ready());
  fs::copy_file(keys.at("other_ca.pem"), keys.at("fresh"));
  fs::rename(keys.at("fresh"), keys.at("ca.pem"));
  EXPECT_TRUE(c->refresh(cause)) << cause;
  SessionPair taken(*c, *s);
  taken.run(100000);
  EXPECT_TRUE(taken.client.ready()) << taken.client.cause();
  fs::resize_file(keys.at("ca.pem"), 10);
  EXPECT_FALSE(c->refresh(cause));
  EXPECT_NE(cause.find("ca.pem"), std::string::npos);
  SessionPair still(*c, *s);
  still.run(100000);
  EXPECT_TRUE(still.client.ready());
}

// A request to a registry over TLS succeeds, and is not sent to one whose certificate is not trusted.
TEST(Tls, ARegistryExchangeRequiresTheRightAuthority) {
  const Keys keys;
  for (const char* const ca : {"ca", "other_ca"}) {
    node::Peer peer;
    std::string asked;
    std::thread registry([&] {
      const auto s = context(keys.files("", "server"), TlsContext::Side::kServer);
      node::Line line = peer.accept();
      TlsSession session(*s, "");
      while (asked.find("\r\n\r\n") == std::string::npos) {
        const std::string came = line.some();
        if (came.empty() || !session.feed(came, asked)) break;
        line.write(session.take());
      }
      if (asked.empty()) return;
      session.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
      line.write(session.take());
      line.rest();
    });
    Loop loop;
    int status = 0;
    std::string body;
    bool over = false;
    std::string trouble;
    const auto c = context(keys.files(ca, ""), TlsContext::Side::kClient);
    {
      membership::registry::Exchange exchange(loop, Poco::Net::SocketAddress("127.0.0.1", peer.port()),
                                              {[&](int s, std::string b) {
                                                 status = s;
                                                 body = std::move(b);
                                                 loop.later([&loop] { loop.stop(); });
                                               },
                                               [](const std::string&) {},
                                               [&](Ending) {
                                                 over = true;
                                                 loop.later([&loop] { loop.stop(); });
                                               }},
                                              c);
      exchange.post("/v3/kv/range", "{}", false, 20000);
      loop.run();
      trouble = exchange.trouble();
    }
    registry.join();
    if (std::string(ca) == "ca") {
      EXPECT_EQ(status, 200) << trouble;
      EXPECT_EQ(body, "{}");
      EXPECT_EQ(asked.rfind("POST /v3/kv/range HTTP/1.1\r\n", 0), 0U) << asked;
    } else {
      EXPECT_TRUE(over);
      EXPECT_NE(trouble.find("issuer"), std::string::npos) << trouble;
      EXPECT_EQ(asked, "");
    }
  }
}

}  // namespace
}  // namespace shorelead::net
