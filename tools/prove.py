"""Mutation test: injects one bug per guarantee into a scratch copy and checks that the tests find it."""
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent

# injected bug, file, original text, replacement, test program
BUGS = [
    ("acknowledge before the sync", "src/consensus/internal/raftcore.cpp",
     "after_sync ? this->ready.after_sync : this->ready.before_sync",
     "false && after_sync ? this->ready.after_sync : this->ready.before_sync", "consensus"),
    ("forget the vote", "src/consensus/internal/raftcore.cpp",
     "      this->hard.vote = message.from;\n      this->ready.hard_state = this->hard;",
     "      this->hard.vote = message.from;", "consensus"),
    ("count entries of older terms", "src/consensus/internal/raftcore.cpp",
     "this->raft_log.TermAt(agreed) != this->hard.term", "false", "consensus"),
    ("take a snapshot that the log covers", "src/consensus/internal/raftcore.cpp",
     "         this->raft_log.TermAt(meta.index) != meta.term;", "         true;", "consensus"),
    ("let an empty learner vote", "src/consensus/internal/raftcore.cpp",
     "this->MatchOf(member.id) < this->commit_index", "false", "consensus"),
    ("shorten a damaged log", "src/storage/internal/segmentedlog.cpp",
     "  if (!is_last ||", "  if ((false && !is_last) ||", "storage"),
    ("accept a late lower version", "src/documents/internal/documentstore.cpp",
     "if (version != expected)", "if (version > expected)", "documents"),
    ("grant an item twice", "src/jobs/internal/jobleasing.cpp",
     "    job->items.state[item] = static_cast<std::uint8_t>(ItemState::kLeased);\n", "", "jobs"),
    ("let a second completion stand", "src/jobs/internal/jobstore.cpp",
     "if (state == ItemState::kDone || state == ItemState::kFailed)",
     "if (false && state == ItemState::kDone)", "jobs"),
    ("complete after a cancel", "src/jobs/internal/jobstore.cpp",
     "    return ResultCode::kCancelled;\n", "", "jobs"),
    ("let a running claim through", "src/claims/internal/claimtable.cpp",
     "overdue ? ResultCode::kUnknownOutcome", "true ? ResultCode::kOk", "claims"),
    ("undo leaving", "src/fleet/internal/fleettable.cpp",
     "entry.leaving || report.leaving", "report.leaving", "fleet"),
    ("start batch before waiting online work", "src/gate/internal/gatecore.cpp",
     "  if (this->waiting_count > 0) {\n    return;\n  }\n", "", "gate"),
    ("run dropped work", "src/gate/internal/gatecore.cpp",
     "  this->RemoveWaiting(id);\n  const auto run", "  const auto run", "gate"),
    ("say not run after a possible run", "src/entry/internal/onlinecall.cpp",
     "  this->maybe_ran = this->maybe_ran || !not_run;\n", "", "entry"),
    ("run anew instead of taking up", "src/entry/internal/onlinecall.cpp",
     "this->request.resume_only = this->reconnects > 0;", "this->request.resume_only = false;", "entry"),
]


def run(command, cwd, timeout, env=None):
    return subprocess.run(command, cwd=cwd, timeout=timeout, capture_output=True, text=True, env=env)


def how_found(output):
    falsified = re.search(r"Falsifiable after (\d+) tests", output)
    if falsified:
        return f"random history {falsified.group(1)}"
    return "focused test"


def main():
    import os
    env = {**os.environ, "RC_PARAMS": "seed=20261202 max_success=4000 noshrink=1"}
    missed = 0
    with tempfile.TemporaryDirectory(prefix="papayarack-prove-") as scratch:
        tree = pathlib.Path(scratch) / "tree"
        shutil.copytree(ROOT, tree, ignore=shutil.ignore_patterns("build*", ".git"))
        run(["cmake", "-G", "Ninja", "-B", "build", "-DCMAKE_BUILD_TYPE=RelWithDebInfo"], tree, 300)
        print("| planted bug | found by | test program |\n| --- | --- | --- |", flush=True)
        for bug, name, old, new, module in BUGS:
            path = tree / name
            text = path.read_text()
            if text.count(old) != 1:
                print(f"| {bug} | NOT PLANTED: {text.count(old)} places | {module} |")
                missed += 1
                continue
            path.write_text(text.replace(old, new))
            built = run(["cmake", "--build", "build", "--target", f"{module}_tests"], tree, 600)
            if built.returncode != 0:
                found = "NOT BUILT"
            else:
                try:
                    done = run([str(next(tree.glob(f"build/src/*/{module}_tests")))], tree, 120, env)
                    found = how_found(done.stdout) if done.returncode != 0 else "NOT FOUND"
                except subprocess.TimeoutExpired:
                    found = "test that does not end (bound 120 s)"
            missed += found.startswith("NOT")
            print(f"| {bug} | {found} | {module} |", flush=True)
            path.write_text(text)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
