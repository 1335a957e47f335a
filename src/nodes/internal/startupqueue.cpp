#include "nodes/startupqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayarack::nodes {

bool StartupQueue::Offer(http::ExchangeId exchange, http::HttpRequest& request,
                         Time now) {
  const std::size_t size = request.body.size();
  if (now - this->started > kStartTime ||
      this->waiting.size() >= kMaxRequests || this->bytes + size > kMaxBytes) {
    return false;
  }
  this->bytes += size;
  this->waiting.push_back({exchange, std::move(request), now});
  return true;
}

std::vector<EarlyRequest> StartupQueue::TakeAll() {
  this->bytes = 0;
  return std::exchange(this->waiting, {});
}

std::vector<EarlyRequest> StartupQueue::TakeExpired(Time now) {
  const auto first_fresh =
      std::ranges::find_if(this->waiting, [now](const EarlyRequest& early) {
        return early.arrived + kMaxWait > now;
      });
  std::vector<EarlyRequest> expired(
      std::make_move_iterator(this->waiting.begin()),
      std::make_move_iterator(first_fresh));
  this->waiting.erase(this->waiting.begin(), first_fresh);
  for (const EarlyRequest& early : expired) {
    this->bytes -= early.request.body.size();
  }
  return expired;
}

bool StartupQueue::Remove(http::ExchangeId exchange) {
  const auto found =
      std::ranges::find(this->waiting, exchange, &EarlyRequest::exchange);
  if (found == this->waiting.end()) {
    return false;
  }
  this->bytes -= found->request.body.size();
  this->waiting.erase(found);
  return true;
}

}  // namespace papayarack::nodes
