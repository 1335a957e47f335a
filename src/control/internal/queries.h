#ifndef PAPAYARACK_CONTROL_INTERNAL_QUERIES_H_
#define PAPAYARACK_CONTROL_INTERNAL_QUERIES_H_

#include "control/controlprotocol.h"
#include "statemachine/statemachine.h"

namespace papayarack::control {

/// Answers a question from the state machine. Precondition: the read was
/// confirmed by a quorum. Errors come as a reply with a code. QueryStatus is
/// filled by the caller with the fleet. Thread safety: the deciding thread.
statemachine::CommandReply AnswerQuery(const statemachine::StateMachine& state,
                                       const Query& query,
                                       const StatusReply& status);

}  // namespace papayarack::control

#endif  // PAPAYARACK_CONTROL_INTERNAL_QUERIES_H_
