#include "entry/retrybudget.h"

#include <algorithm>

namespace papayarack::entry {

void RetryBudget::OnRequest() {
  this->tokens = std::min(kMaxTokens, this->tokens + kTokensPerRequest);
}

bool RetryBudget::TryRetry() {
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

}  // namespace papayarack::entry
