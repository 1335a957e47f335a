// An open-loop load generator for streamed completions. Requests are sent at
// their scheduled times regardless of earlier ones, and latencies count from
// the scheduled time, so that a stall shows in every request that it delayed.
#include <httplib.h>
#include <popt.h>

#include <algorithm>
#include <iostream>
#include <thread>

#include "global/settings.h"
#include "loadreport.h"
#include "tracemaker.h"

namespace papayarack::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kReadTimeout{60};

double MillisSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

/// Endpoints and model that receive the load.
struct Target {
  std::vector<Endpoint> endpoints;
  std::string model;
};

std::string BodyFor(const Target& target, const TraceRequest& request,
                    std::size_t number) {
  std::string prompt = "prefix " + std::to_string(request.prefix) + " ";
  prompt.append(240, 'p');
  for (std::uint32_t i = 0; i < request.prompt_words; ++i) {
    prompt += " w" + std::to_string((number * 31 + i) % 997);
  }
  return nlohmann::json(
             {{"model", target.model},
              {"stream", true},
              {"max_tokens", request.tokens},
              {"messages", {{{"role", "user"}, {"content", prompt}}}}})
      .dump();
}

/// Measures token times in the event stream of a response.
class TokenTimer {
 public:
  explicit TokenTimer(Clock::time_point due) : due(due) {}

  void Add(std::string_view bytes, RequestOutcome& outcome) {
    this->pending.append(bytes);
    std::size_t end = 0;
    while ((end = this->pending.find("\n\n")) != std::string::npos) {
      const std::string event = this->pending.substr(0, end);
      this->pending.erase(0, end + 2);
      if (event == "data: [DONE]") {
        outcome.whole = true;
      } else if (event.find("\"finish_reason\":null") != std::string::npos) {
        this->OnToken(outcome);
      }
    }
  }

 private:
  void OnToken(RequestOutcome& outcome) {
    const double now = MillisSince(this->due);
    if (this->last < 0) {
      outcome.first_token = now;
    } else {
      outcome.gaps.push_back(now - this->last);
    }
    this->last = now;
  }

  Clock::time_point due;
  std::string pending;
  double last = -1;
};

void SendOne(const Target& target, const TraceRequest& request,
             std::size_t number, Clock::time_point due, LoadReport& report) {
  const Endpoint& endpoint = target.endpoints[number % target.endpoints.size()];
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_read_timeout(kReadTimeout);
  client.set_tcp_nodelay(true);
  RequestOutcome outcome;
  TokenTimer timer(due);
  httplib::Request http;
  http.method = "POST";
  http.path = "/v1/chat/completions";
  http.set_header("Content-Type", "application/json");
  http.body = BodyFor(target, request, number);
  http.response_handler = [&outcome](const httplib::Response& response) {
    outcome.status = response.status;
    return true;
  };
  http.content_receiver = [&](const char* data, std::size_t length,
                              std::uint64_t, std::uint64_t) {
    timer.Add({data, length}, outcome);
    return true;
  };
  client.send(http);
  outcome.total = MillisSince(due);
  report.Add(std::move(outcome));
}

/// Closed loop: keeps `workers` requests in flight until the end, like a batch
/// client that bypasses the gates.
void RunClosed(const Target& target, const TraceOptions& trace, int workers,
               LoadReport& report) {
  const Clock::time_point end =
      Clock::now() +
      std::chrono::microseconds(static_cast<std::int64_t>(trace.seconds * 1e6));
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(workers));
  for (int worker = 0; worker < workers; ++worker) {
    threads.emplace_back([&target, &trace, &report, worker, end] {
      TraceRequest request;
      request.tokens = static_cast<std::uint32_t>(trace.mean_tokens);
      request.prompt_words = 40;
      for (std::size_t i = 0; Clock::now() < end; ++i) {
        const std::size_t number = static_cast<std::size_t>(worker) + i * 1000;
        request.prefix = static_cast<int>(number);
        SendOne(target, request, number, Clock::now(), report);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void RunOpen(const Target& target, const TraceOptions& trace,
             LoadReport& report) {
  std::vector<std::thread> threads;
  const Clock::time_point start = Clock::now();
  std::size_t number = 0;
  for (const TraceRequest& request : MakeTrace(trace)) {
    const Clock::time_point due =
        start +
        std::chrono::microseconds(static_cast<std::int64_t>(request.at * 1e6));
    std::this_thread::sleep_until(due);
    threads.emplace_back([&target, &report, request, number, due] {
      SendOne(target, request, number, due, report);
    });
    ++number;
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::vector<Endpoint> ParseTargets(const std::string& text) {
  std::vector<Endpoint> endpoints;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t comma = std::min(text.find(',', start), text.size());
    endpoints.push_back(
        ParseEndpoint(text.substr(start, comma - start), "--target"));
    start = comma + 1;
  }
  return endpoints;
}

int Main(int argc, const char** argv) {
  TraceOptions trace;
  char* targets = nullptr;
  char* model = nullptr;
  int seed = 1;
  int closed = 0;
  poptOption table[] = {
      {"target", 't', POPT_ARG_STRING, &targets, 0, "endpoints, used in turn",
       "HOST:PORT,..."},
      {"model", 'm', POPT_ARG_STRING, &model, 0, "model to request", "NAME"},
      {"rate", 0, POPT_ARG_DOUBLE, &trace.rate, 0, "mean requests per second",
       "N"},
      {"seconds", 0, POPT_ARG_DOUBLE, &trace.seconds, 0, "duration", "S"},
      {"burst", 0, POPT_ARG_DOUBLE, &trace.burst, 0,
       "burst rate as a multiple of the mean", "N"},
      {"tokens", 0, POPT_ARG_DOUBLE, &trace.mean_tokens, 0,
       "mean response tokens", "N"},
      {"closed", 0, POPT_ARG_INT, &closed, 0,
       "closed loop with this many concurrent requests", "N"},
      {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the trace", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("papayarack_load", argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1 || targets == nullptr || model == nullptr) {
    std::cerr << "papayarack_load: expected --target and --model\n";
    return 2;
  }
  trace.seed = static_cast<std::uint64_t>(seed);
  const Target target{ParseTargets(targets), model};
  LoadReport report;
  if (closed > 0) {
    RunClosed(target, trace, closed, report);
  } else {
    RunOpen(target, trace, report);
  }
  std::cout << report.Summary().dump(2) << "\n";
  return 0;
}

}  // namespace
}  // namespace papayarack::bench

int main(int argc, const char** argv) {
  return papayarack::bench::Main(argc, argv);
}
