#include "node/streamed_responses.h"

#include <spdlog/spdlog.h>

namespace shorelead::node {
namespace {

constexpr Millis kStandstill = 30000;  // of an answer that has begun: then its backend will not go on

}  // namespace

bool Upstream::LongAnswers::begin(Link& link) {
  if (!flows_->room()) {
    spdlog::warn("no memory for one more large answer, {} are under way", flows_->open());
    return false;
  }
  const auto flow = std::make_shared<net::Flow>(flows_, link.answer.parser.length());
  link.answer_flow = flow;
  link.clean = link.written();
  link.moved_at = loop_.now();
  links_.insert(&link);
  flow->put(link.answer.parser.take_body(link.answer.raw));
  flow->set_source({[&link] { link.stream.want_input(true); },
                    [hold = link.shared_from_this()] {
                      if (hold->answer_flow) hold->end_flow(false);
                    }});
  return true;
}

void Upstream::LongAnswers::sweep() {
  const Millis now = loop_.now();
  std::vector<std::shared_ptr<Link>> still;
  for (Link* const link : links_) {
    // One that is held back for its client's sake is not its backend's fault.
    if (!link->answer_flow->full() && now - link->moved_at >= kStandstill)
      still.push_back(link->shared_from_this());
  }
  for (const auto& link : still) {
    if (link->answer_flow) link->end_flow(false);
  }
}

}  // namespace shorelead::node
