package org.radishspan.budget;

import org.radishspan.proto.AccountState;

/** Decides how much of an account's free tokens one request of a router may take. */
@FunctionalInterface
public interface GrantRule {

    /**
     * Returns the tokens to grant, from 0 to {@code freeTokens}.
     *
     * @param freeTokens tokens that no share holds and no bill used
     */
    long grantTokens(long freeTokens, AccountState account, Ledger.GrantRequest request);

    /** Grants what is asked for, as far as it is free. */
    static GrantRule asAsked() {
        return (freeTokens, account, request) -> Math.min(freeTokens, request.tokens());
    }

    /**
     * Grants at most a fraction of what is free, so that grants shrink as the budget runs out, but never less than the
     * asked minimum while that much is free.
     */
    static GrantRule fairPart(double fraction) {
        if (fraction <= 0 || fraction > 1) {
            throw new IllegalArgumentException("fraction must be above 0 and at most 1: " + fraction);
        }
        return (freeTokens, account, request) -> {
            long part = (long) (freeTokens * fraction);
            long wanted = Math.max(request.minimumTokens(), Math.min(part, request.tokens()));
            return Math.min(freeTokens, wanted);
        };
    }

    /**
     * Leaves a part of the spendable tokens in the ledger to calls that wait: a request without a minimum, which only fills
     * a share up, gets nothing of it.
     */
    static GrantRule keepingReserve(double reserveFraction, GrantRule rule) {
        return (freeTokens, account, request) -> {
            long granted = rule.grantTokens(freeTokens, account, request);
            if (request.minimumTokens() > 0) {
                return granted;
            }
            long spendable = Math.max(0, Accounts.unspentTokens(account) - Accounts.forfeitedTokens(account));
            long reserve = (long) (spendable * reserveFraction);
            return Math.min(granted, Math.max(0, freeTokens - reserve));
        };
    }
}
