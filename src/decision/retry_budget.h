#ifndef AZURESPINDLE_DECISION_RETRY_BUDGET_H
#define AZURESPINDLE_DECISION_RETRY_BUDGET_H

namespace azurespindle::decision {

/// Limits retries to a ratio of the first attempts, so that retries do not amplify an overload.
///
/// Each first attempt deposits a fraction of a retry, and each retry withdraws one. The balance is
/// bounded; it permits a few retries when there is little traffic. Because each process keeps to
/// the ratio, the whole fleet does without coordination.
class RetryBudget
{
public:
    static constexpr double maxBalance = 10.0; ///< Largest balance, in retries.

    // Commands

    void setRatio(double retriesPerFirstAttempt) { this->ratio = retriesPerFirstAttempt; }
    /// Records a first attempt.
    void deposit()
    {
        const double increased = this->balance + this->ratio;
        this->balance = increased < maxBalance ? increased : maxBalance;
    }
    /// Withdraws one retry. \return false if the balance does not cover it.
    bool tryWithdraw()
    {
        if (this->balance < 1.0) {
            return false;
        }
        this->balance -= 1.0;
        return true;
    }

    // Queries

    double available() const { return this->balance; }

private:
    double ratio = 0.1;
    double balance = maxBalance;
};

} // namespace azurespindle::decision

#endif
