#ifndef PAPAYARACK_ENTRY_RETRYBUDGET_H_
#define PAPAYARACK_ENTRY_RETRYBUDGET_H_

namespace papayarack::entry {

/// Limits the retries of one service to a fraction of its first requests, so
/// that retries do not amplify an overload. Thread safety: none.
class RetryBudget {
 public:
  /// Counts a first request, which adds a fraction of a retry to the budget.
  void OnRequest();
  /// Consumes one retry; false if the budget is exhausted.
  bool TryRetry();
  double Left() const { return this->tokens; }

 private:
  static constexpr double kTokensPerRequest = 0.1;
  static constexpr double kMaxTokens = 20.0;
  double tokens = kMaxTokens / 2;
};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_RETRYBUDGET_H_
