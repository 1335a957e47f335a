#ifndef PAPAYARACK_NODES_NODERUNNER_H_
#define PAPAYARACK_NODES_NODERUNNER_H_

#include <functional>

#include "nodes/dialect.h"
#include "nodes/nodeoptions.h"

namespace papayarack::nodes {

/// Reads the current settings; throws ResultError when they cannot be read.
using ReadOptions = std::function<NodeOptions()>;

/// Runs one node until SIGTERM or SIGINT and its graceful shutdown. Applies
/// changed seeds at SIGHUP and every few seconds. Throws ResultError when it
/// cannot start. Thread safety: call once, from main's thread.
void RunNode(const ReadOptions& read_options, const Dialect& dialect);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_NODERUNNER_H_
