// Case 3: an answer without a length begins and never ends; its request gets no final answer in its time, nor
// in the half second after it, nor any sign that the answer is not whole. A node with the settings of
// kyushu-main.
#include "stand/stand.h"

using namespace stand;

namespace {

constexpr int kBackends = 9;
constexpr int kClients = 4;
constexpr int kRequests = 60;            // of each client
constexpr double kEndlessShare = 0.1;    // of the answers
constexpr int kWaitMs = 600;             // what clients wait for an answer: 60% of the class's give-up time
constexpr double kLate = 500;            // ms after its time up to which an answer only earns nothing
constexpr double kSlack = 50;            // each time limit on sockets is longer by so much
constexpr double kWatched = 2500;        // ms after its time for which a client goes on looking
constexpr double kFirstWatched = 20000;  // the same for the first one that a client finds without an answer

const char* const kSettings = R"({
 "Allowed":{"Cancel":true,"ConnIdle":60000,"ConnectTimeout":200,"CpuUsPerRequest":0,"CpuUsPerS":400000,
  "MaxRetryAfter":600,"MostTries":5,"OpenCap":20000,"ParallelTries":true,"PeerMessages":false,"Probing":true,
  "RetryAfter":true,"StreamsPerConn":100},
 "Azs":["fukuoka","kumamoto","kitakyushu"],"Callers":{"MarksRetry":false},
 "Costs":{"Connection":0,"CrossZone":0.005,"Handshake":0,"LateFail":0.023,"Peer":0,"Probe":0.002,"RegistryMode":0.01,
  "Waste":0.047},
 "Instances":3,"Me":0,"Locality":0,"MachineTypes":["std-a","std-b"],"OverShareWorth":0.1,"RegistryMode":"subscribe",
 "Invariants":{"AnswerSlack":5,"AskEvery":10000,"ColdShare":0.32,"Fall":1000,"FallMultiple":3,"StopSendingWithin":250,
  "WarmUp":8900},
 "Report":{"Fields":["inflight","queue","util"],"Source":"answers"},
 "Services":[{"Aim":410,"DedupWindow":800,"Effect":"token","GiveUp":1000,"Group":"zone","LateValue":0,"Name":"check",
   "Streamed":false,"Worth":5},
  {"Aim":410,"DedupWindow":5000,"Effect":"side_effect","GiveUp":1000,"Group":"all","LateValue":0,"Name":"charge",
   "Streamed":false,"Worth":10}],
 "Specifics":{"WarmKeys":false},"Tenants":[],"Tick":1,"Weights":"none","Workload":"proxy","WorthBy":"request"})";

}  // namespace

int main(int argc, char** argv) {
  const Options options = stand::options(argc, argv);
  Record record(options.record);
  std::mutex mutex;
  std::mt19937_64 random(11);
  int endless = 0;

  const auto handle = [&](Backend& backend, BackendConnection& on, const Message& message) {
    const std::string id = message.field("x-request-id");
    const bool probe = id.empty();
    double work = 0.1;
    bool never_ends = false;
    if (!probe) {
      const std::lock_guard<std::mutex> hold(mutex);
      work = std::uniform_real_distribution<double>(20, 120)(random);
      never_ends = options.trouble && std::bernoulli_distribution(kEndlessShare)(random);
      ++backend.in_hand;
    }
    on.after(work, [&, id, probe, never_ends] {
      const int in_hand = probe ? backend.in_hand.load() : --backend.in_hand;
      const std::string load =
          "inflight=" + std::to_string(in_hand) + ",queue=0,util=" + (in_hand > 0 ? "1" : "0");
      if (probe) return on.write(ok(load));
      const std::string body = "made for " + id;
      char size[16];
      std::snprintf(size, sizeof size, "%zx", body.size());
      // Each answer comes in chunks. The last chunk is what an answer that never ends lacks; its connection
      // stays open and is of no further use.
      record.line("%s has run %s and %s", backend.host.c_str(), id.c_str(),
                  never_ends ? "begins an answer that never ends" : "answers");
      on.write("HTTP/1.1 200 OK\r\nX-Server-Load: " + load + "\r\nTransfer-Encoding: chunked\r\n\r\n" + size +
               "\r\n" + body + "\r\n" + (never_ends ? "" : "0\r\n\r\n"));
      if (!never_ends) return;
      const std::lock_guard<std::mutex> hold(mutex);
      ++endless;
    });
  };

  static const char* const kSites[] = {"fukuoka", "kumamoto", "kitakyushu"};
  std::vector<std::unique_ptr<Backend>> backends;
  for (int n = 0; n < kBackends; ++n)
    backends.push_back(
        std::make_unique<Backend>("s-" + std::to_string(n + 1), kSites[n % 3], n / 6, 0.2, handle));
  Discovery discovery(backends);
  const int node = free_port();
  write_config(options.config, node, discovery, kSettings);
  wait_until_ready(node, now_ms() + 15000);
  record.line("the node is ready; trouble %d", options.trouble);

  int served = 0, answered = 0, cut = 0, lost = 0;
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      Client client(node);
      bool found = false;  // a request without a final answer
      std::mt19937_64 own(static_cast<std::uint64_t>(200 + c));
      for (int n = 0; n < kRequests; ++n) {
        sleep_ms(std::uniform_real_distribution<double>(50, 250)(own));
        char id[32];
        std::snprintf(id, sizeof id, "%02x%06x", c + 1, n);
        const bool charge = n % 4 == 0;
        const std::string request = request_text("POST", charge ? "/charge/a" : "/check/a", id, kWaitMs,
                                                 charge ? "" : "key-" + std::string(id));
        const double due = now_ms() + kWaitMs;
        const Answer answer = client.ask(request, kWaitMs + (found ? kWatched : kFirstWatched));
        const std::lock_guard<std::mutex> hold(mutex);
        if (answer.at <= due + kLate + kSlack) {
          ++(!answer.whole ? cut : answer.message.status() == 200 ? served : answered);
          if (!answer.whole || answer.message.status() != 200)
            record.line("client %d: %s %s was %s %.0f ms before its time was over", c + 1,
                        charge ? "charge" : "check", id,
                        answer.whole ? ("answered " + answer.message.start.substr(9, 3)).c_str() : "cut off",
                        due - answer.at);
          continue;
        }
        ++lost;
        found = true;
        record.line(
            "BROKEN client %d: %s %s had no final answer %.0f ms after its time was over%s; of an answer had "
            "come: %zu bytes, \"%s\"",
            c + 1, charge ? "charge" : "check", id, answer.at - due,
            answer.whole || answer.ended ? "" : ", and its connection was open still", answer.partial.size(),
            answer.partial.substr(0, 15).c_str());
      }
    });
  }
  for (auto& client : clients) client.join();
  record.line(
      "%d served, %d answered otherwise, %d cut off in time, %d with no final answer; %d answers never ended",
      served, answered, cut, lost, endless);
  std::printf("case 3: %d served, %d answered otherwise, %d cut off in time, %d with no final answer\n",
              served, answered, cut, lost);
  std::fflush(stdout);
  if (lost > 0) std::_Exit(1);
  std::_Exit(served >= kClients * kRequests / 2 ? 0 : 2);
}
