#pragma once

namespace persimmonfield {

// The requests that one instance may send to the new version of a service: a share of those of its own that
// have reached a server of the service. The sum over all instances is therefore at most that share of all
// requests, whoever else runs, without any agreement on single requests. No I/O, no clock.
class ExposureBudget {
public:
    // `initial` is the part of a request that may be sent in advance.
    explicit ExposureBudget(double initial = 0);

    // The share may rise and fall at any time.
    void setShare(double share) { share_ = share; }

    // A request has reached a server of either version.
    void onServed();

    // Takes one request from the budget. Returns false if none is left.
    bool take();

    // The request has not reached a server.
    void giveBack();

private:
    double share_ = 0;
    double available_ = 0;
};

}
