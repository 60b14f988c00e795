package org.radishspan.budget;

import org.radishspan.proto.AccountState;

/** Decides how many of an account's free tokens the ledger grants to one request of a router. */
@FunctionalInterface
public interface GrantRule {
    /** Milliseconds in a second. */
    long MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the tokens to grant, from 0 to {@code freeTokens}.
     *
     * @param freeTokens tokens that are neither held by a share nor billed
     */
    long grantTokens(long freeTokens, AccountState account, Ledger.GrantRequest request);

    /** Returns a rule that grants the requested tokens, or all free tokens if fewer are free. */
    static GrantRule asRequested() {
        return (freeTokens, account, request) -> Math.min(freeTokens, request.tokens());
    }

    /**
     * Returns a rule that grants at most a fraction of the free tokens, so that grants shrink as the budget runs out. The
     * requested minimum is granted in any case if that many tokens are free.
     *
     * @param fraction above 0 and at most 1
     */
    static GrantRule limitedToFraction(double fraction) {
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
     * Returns a rule that limits another rule so that a reserve of the spendable tokens remains in the ledger. Only requests
     * for waiting calls receive tokens of the reserve, requests that merely fill up a share do not.
     *
     * @param reserveFraction the reserve as a part of the spendable tokens
     * @param reserveMillis limits the reserve to the fleet's demand of this time; 0 for no such limit
     */
    static GrantRule withReserve(double reserveFraction, long reserveMillis, GrantRule rule) {
        return (freeTokens, account, request) -> {
            long granted = rule.grantTokens(freeTokens, account, request);
            long spendable = Math.max(0, Accounts.unspentTokens(account) - Accounts.forfeitedTokens(account));
            long reserve =
                    reserveTokens(spendable, Accounts.demandTokensPerSecond(account), reserveFraction, reserveMillis);
            long tokensBeyondReserve = Math.max(0, freeTokens - reserve);
            return Math.min(
                    granted, Math.max(tokensBeyondReserve, Math.max(request.waitingTokens(), request.minimumTokens())));
        };
    }

    /** Returns the tokens that remain in the ledger for waiting calls and are not used to fill up shares. */
    static long reserveTokens(
            long spendableTokens, long demandTokensPerSecond, double reserveFraction, long reserveMillis) {
        long part = (long) (spendableTokens * reserveFraction);
        return reserveMillis == 0 ? part : Math.min(part, demandTokensPerSecond * reserveMillis / MILLIS_PER_SECOND);
    }
}
