#ifndef PAPAYARACK_ENTRY_RETRYBUDGET_H_
#define PAPAYARACK_ENTRY_RETRYBUDGET_H_

namespace papayarack::entry {

/// Bounds the repeats of one service to a part of its first requests, so that
/// an overload is not made worse by the repeats it causes. Thread safety: none.
class RetryBudget {
 public:
  /// A first request came: it adds a little to what may be repeated.
  void OnRequest();
  /// Takes one repeat; false when the budget is spent.
  bool TryRepeat();
  double Left() const { return this->tokens; }

 private:
  static constexpr double kPerRequest = 0.1;
  static constexpr double kLargest = 20.0;
  double tokens = kLargest / 2;
};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_RETRYBUDGET_H_
