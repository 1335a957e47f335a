#include "nodes/noderunner.h"

#include <csignal>
#include <memory>
#include <variant>

#include "global/heap.h"
#include "global/logging.h"
#include "nodes/entrynode.h"
#include "nodes/gatenode.h"
#include "nodes/gracefulleave.h"
#include "nodes/storenode.h"

namespace papayarack::nodes {
namespace {

/// Reload interval: settings may change without a signal.
constexpr std::chrono::milliseconds kReloadEvery{3000};

using Node = std::variant<std::unique_ptr<EntryNode>, std::unique_ptr<GateNode>,
                          std::unique_ptr<StoreNode>>;

Node MakeNode(NodeRuntime& runtime) {
  switch (runtime.options.role) {
    case coordination::NodeRole::kGate:
      return std::make_unique<GateNode>(runtime);
    case coordination::NodeRole::kStore:
      return std::make_unique<StoreNode>(runtime);
    case coordination::NodeRole::kEntry:
      break;
  }
  return std::make_unique<EntryNode>(runtime);
}

LeavingSteps StepsOf(Node& node) {
  return std::visit([](auto& held) { return nodes::StepsOf(*held); }, node);
}

/// Handles signals, reloads and the graceful shutdown of one node.
class NodeLifecycle {
 public:
  NodeLifecycle(const ReadOptions& read_options, const Dialect& dialect)
      : read_options(read_options),
        runtime(read_options(), dialect),
        node(MakeNode(this->runtime)),
        stop_signals(this->runtime.context, SIGTERM, SIGINT),
        reload_signals(this->runtime.context, SIGHUP),
        leave(this->runtime, StepsOf(this->node)),
        reload_timer(this->runtime.context) {
    this->stop_signals.async_wait([this](std::error_code error, int) {
      if (!error) {
        this->leave.Begin();
      }
    });
    this->AwaitReloadSignal();
    this->AwaitReloadTime();
  }

  void Run() { this->runtime.context.run(); }

 private:
  void AwaitReloadSignal() {
    this->reload_signals.async_wait([this](std::error_code error, int) {
      if (!error) {
        this->Reload("signal");
        this->AwaitReloadSignal();
      }
    });
  }

  void AwaitReloadTime() {
    this->reload_timer.expires_after(kReloadEvery);
    this->reload_timer.async_wait([this](std::error_code error) {
      if (!error) {
        this->Reload("time");
        ReleaseFreeHeap();
        this->AwaitReloadTime();
      }
    });
  }

  void Reload(const char* reason) {
    try {
      NodeOptions fresh = this->read_options();
      if (fresh.seeds == this->runtime.options.seeds) {
        return;
      }
      Log(LogLevel::kInfo, "settings_reloaded",
          {{"reason", reason}, {"seeds", fresh.seeds}});
      this->runtime.options.seeds = fresh.seeds;
      this->runtime.watch->search().SetSeeds(std::move(fresh.seeds));
    } catch (const ResultError& error) {
      // The file is being written or invalid: keep the previous settings.
      Log(LogLevel::kWarn, "settings_unreadable", {{"text", error.what()}});
    }
  }

  const ReadOptions& read_options;
  NodeRuntime runtime;
  Node node;
  asio::signal_set stop_signals;
  asio::signal_set reload_signals;
  GracefulLeave leave;
  asio::steady_timer reload_timer;
};

}  // namespace

void RunNode(const ReadOptions& read_options, const Dialect& dialect) {
  NodeLifecycle lifecycle(read_options, dialect);
  Log(LogLevel::kInfo, "started");
  lifecycle.Run();
  FlushLog();
  // Exits without destructors: there is no state left to save.
  std::_Exit(0);
}

}  // namespace papayarack::nodes
