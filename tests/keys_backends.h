// Backends that answer with their names, and a record of which backends received each key. For tests only.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "peer.h"

namespace shorelead::node {

// The backends that received each key, in order; a backend that gets a key back is listed again.
class KeyRecord {
 public:
  void received(const std::string& key, const std::string& backend) {
    const std::lock_guard lock(mutex_);
    if (auto& all = by_key_[key]; all.empty() || all.back() != backend) all.push_back(backend);
  }
  std::map<std::string, std::vector<std::string>> all() {
    const std::lock_guard lock(mutex_);
    return by_key_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> by_key_;
};

class Backend {
 public:
  Backend(std::string name, KeyRecord& record)
      : name(std::move(name)), record_(record), thread_([this] { serve(); }) {}
  ~Backend() {
    peer.stop();
    thread_.join();
    for (std::thread& one : connections_) one.join();
  }

  const std::string name;
  Peer peer;

 private:
  void serve() {
    while (auto line = peer.accept_until_stopped()) {
      connections_.emplace_back([this, line = std::make_shared<Line>(std::move(*line))] {
        for (std::string asked = line->request(); !asked.empty(); asked = line->request()) {
          const std::size_t at = asked.find("X-Basket: ");
          if (at != std::string::npos) record_.received(asked.substr(at + 10, 2), name);
          line->write("HTTP/1.1 200 OK\r\nX-Box: " + name + "\r\nContent-Length: 0\r\n\r\n");
        }
      });
    }
  }

  KeyRecord& record_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

}  // namespace shorelead::node
