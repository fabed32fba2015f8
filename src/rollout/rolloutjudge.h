#pragma once

#include "base/time.h"
#include "rollout/rolloutfigures.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace persimmonfield {

// What is known of a new version of a service in comparison with the version in use.
struct RolloutJudgement {
    enum class Verdict {
        Undecided, // Too few answers.
        Sound, // Enough answers, and no sign that the new version is worse.
        Worse,
    };

    Verdict verdict = Verdict::Undecided;
    std::string cause; // Why the new version is worse, or what is missing for a decision.
    std::string route; // The route on which it is worse; empty if no single route shows it.
    // The compared answers, of which `newHits` and `oldHits` failed or were slow.
    int64_t newAnswers = 0;
    int64_t newHits = 0;
    int64_t oldAnswers = 0;
    int64_t oldHits = 0;
};

// Evidence that the new version is worse, with the figures that give it.
struct RolloutEvidence {
    double strength = 0;
    RolloutJudgement figures;
};

// Compares a new version with the version in use over the same time, for each route, by failures and by the
// time taken. Failures are tolerated up to 1.5 times the old version's share and 5 percentage points; of
// slow answers (slower than 90 % or 97.5 % of the old version's) twice the old share and 5 points.
//
// The evidence is the log-likelihood ratio of the observed share to the tolerated one, over the last 4, 8 and
// 16 slots and the whole time, on one route or added up over all of them. A verdict needs an evidence of 8,
// so a version at the very limit of what is tolerated is found worse by chance in about one of 3,000
// comparisons, a version that is as good as the old one far more seldom: tests/rollout plays 1,000 of them
// without a false alarm. Times of answers in a row depend on each other, so each counts as half an answer.
//
// A version that fails half of its requests is found worse after about 12 answers, one that fails a third
// after about 30, one that is eight times slower on a third of them after about 120. A version is sound after
// 60 answers, with 25 on each route that has a twentieth of the traffic.
//
// Keeps at most 64 slots of figures for each of 64 routes and version. Has no clock.
class RolloutJudge {
public:
    // `slot` is the granularity of time.
    explicit RolloutJudge(Duration slot);

    // Adds what an instance has counted at the server next to it since its last report. The counts of one
    // source (an instance's run and its server) only grow; a report that is repeated or late adds nothing.
    void record(const std::string& source, bool isNewVersion, const FiguresByRoute& counts, TimePoint now);

    RolloutJudgement judgement() const;

    // All answers of the version since the beginning.
    int64_t answers(bool isNewVersion) const;

private:
    struct Slot {
        int64_t number = 0;
        RolloutFigures figures;
    };
    struct Series {
        std::deque<Slot> slots; // The oldest one contains all that came before.
        RolloutFigures total;
    };
    struct Route {
        Series oldVersion;
        Series newVersion;
    };
    static RolloutFigures since(const Series& series, int64_t firstSlot);
    RolloutEvidence strongestEvidence(int64_t slots) const;
    RolloutJudgement soundness() const;

    Duration slot_;
    int64_t currentSlot_ = 0;
    std::map<std::string, FiguresByRoute> reported_; // By source.
    std::map<std::string, Route> routes_;
};

}
