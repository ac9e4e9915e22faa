#ifndef AZURESPINDLE_DECISION_RETRY_BUDGET_H
#define AZURESPINDLE_DECISION_RETRY_BUDGET_H

namespace azurespindle::decision {

/// Bounds retries to a share of the first tries, so that a failing fleet is not made worse.
///
/// Each first try earns a share of a retry; a few may be saved up for a quiet hour's mishap. As
/// every process keeps to its own share, the fleet keeps to it without talking.
class RetryBudget
{
public:
    static constexpr double maxSaved = 10.0; ///< Retries that may be saved up.

    // Commands

    void setShare(double retriesPerFirstTry) { this->share = retriesPerFirstTry; }
    /// Notes a first try.
    void earn()
    {
        const double earned = this->saved + this->share;
        this->saved = earned < maxSaved ? earned : maxSaved;
    }
    /// Takes one retry. \return false if there is none left.
    bool spend()
    {
        if (this->saved < 1.0) {
            return false;
        }
        this->saved -= 1.0;
        return true;
    }

    // Queries

    double available() const { return this->saved; }

private:
    double share = 0.1;
    double saved = maxSaved;
};

} // namespace azurespindle::decision

#endif
