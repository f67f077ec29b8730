// Backends that answer with their names, and the book of which key met which of them. For tests only.
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

// What each key met, in the order in which backends had it; a backend that it meets again stands twice.
class Book {
 public:
  void met(const std::string& key, const std::string& backend) {
    const std::lock_guard lock(mutex_);
    if (auto& all = met_[key]; all.empty() || all.back() != backend) all.push_back(backend);
  }
  std::map<std::string, std::vector<std::string>> all() {
    const std::lock_guard lock(mutex_);
    return met_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> met_;
};

class Backend {
 public:
  Backend(std::string name, Book& book) : name(std::move(name)), book_(book), thread_([this] { serve(); }) {}
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
          if (at != std::string::npos) book_.met(asked.substr(at + 10, 2), name);
          line->write("HTTP/1.1 200 OK\r\nX-Box: " + name + "\r\nContent-Length: 0\r\n\r\n");
        }
      });
    }
  }

  Book& book_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

}  // namespace shorelead::node
