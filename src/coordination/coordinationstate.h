#ifndef PAPAYARACK_COORDINATION_COORDINATIONSTATE_H_
#define PAPAYARACK_COORDINATION_COORDINATIONSTATE_H_

#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "coordination/coordinationmessages.h"

namespace papayarack::coordination {

/// The commands in the coordination group's log. New alternatives are only
/// added at the end, as the index is stored.
using CoordinationCommand =
    std::variant<SubmitConfiguration, FoundJobGroup, EmptyStore,
                 ChangeConfiguration, SetCreditReserves>;

/// The durable state of the coordination group: the configuration in force, the
/// founders of the job group, the stores being emptied, and the credit reserves
/// of organisations. Thread safety: none.
class CoordinationState {
 public:
  /// Applies one committed command. A malformed one changes nothing.
  void Apply(std::string_view command);
  std::string Save() const;
  /// Throws ResultError(kProtocol) on malformed bytes.
  void Load(std::string_view bytes);

  /// The highest version wins; an equal or lower one changes nothing, so that a
  /// repeated or late configuration never replaces a newer one.
  std::uint64_t version() const { return this->data.version; }
  const std::string& text() const { return this->data.text; }
  /// Empty until the job group is founded, which happens once.
  const consensus::MemberList& job_founders() const {
    return this->data.job_founders;
  }
  const std::set<std::string>& leaving() const { return this->data.leaving; }
  const CreditReserves& credit_reserves() const {
    return this->data.credit_reserves;
  }
  /// Whether reserves were ever set.
  bool keeps_reserves() const { return this->data.keeps_reserves; }

 private:
  struct Data {
    std::uint64_t version = 0;
    std::string text;
    consensus::MemberList job_founders;
    std::set<std::string> leaving;
    CreditReserves credit_reserves;
    bool keeps_reserves = false;
    MSGPACK_DEFINE(version, text, job_founders, leaving, credit_reserves,
                   keeps_reserves)
  };
  void Do(const SubmitConfiguration& command);
  void Do(const FoundJobGroup& command);
  void Do(const EmptyStore& command);
  void Do(const ChangeConfiguration& command);
  void Do(const SetCreditReserves& command);

  Data data;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_COORDINATIONSTATE_H_
