#include "coordination/reserverecord.h"

#include <algorithm>
#include <utility>

#include "global/variantcodec.h"

namespace papayarack::coordination {

ReserveRecord::ReserveRecord(replication::ReplicatedGroup& group,
                             const CoordinationState& state,
                             std::string own_address)
    : group(group), state(state), own_address(std::move(own_address)) {}

ReserveRecord::~ReserveRecord() { *this->alive = false; }

void ReserveRecord::OnReport(const WatchRequest& report) {
  if (report.applies_reserves) {
    this->able_members.insert(report.self.address);
  } else {
    this->able_members.erase(report.self.address);
  }
}

void ReserveRecord::Read(
    std::function<void(std::optional<CreditReserves>)> done) {
  this->group.Read(
      [this, done = std::move(done), alive = this->alive](bool confirmed) {
        if (*alive) {
          done(confirmed ? std::optional(this->state.credit_reserves())
                         : std::nullopt);
        }
      });
}

bool ReserveRecord::Usable() const {
  return this->state.keeps_reserves() ||
         std::ranges::all_of(
             this->group.members().members,
             [this](const consensus::Member& member) {
               return member.address == this->own_address ||
                      this->able_members.contains(member.address);
             });
}

void ReserveRecord::Propose(const SetCreditReserves& change,
                            std::function<void(bool)> done) {
  this->group.Propose(EncodeVariant(CoordinationCommand(change)),
                      [done = std::move(done), alive = this->alive](
                          const Result& result, const std::string&) {
                        if (*alive) {
                          done(result.Ok());
                        }
                      });
}

}  // namespace papayarack::coordination
