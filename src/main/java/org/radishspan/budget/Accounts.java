package org.radishspan.budget;

import org.radishspan.proto.AccountState;
import org.radishspan.proto.ShareState;

/** Calculates the token counts of an account and its shares. */
public final class Accounts {
    private Accounts() {}

    /**
     * Returns the tokens of an account that are neither held by a share nor billed; negative if the limit was lowered below
     * the held and billed tokens.
     */
    public static long freeTokens(AccountState account) {
        return account.getLimitTokens() - committedTokens(account);
    }

    /**
     * Returns the billed tokens of an account. Lost tokens are subtracted, because {@code closed_spent_tokens} contains them
     * although they were never billed.
     */
    public static long billedTokens(AccountState account) {
        long total = account.getClosedSpentTokens() - account.getLostTokens();
        for (ShareState share : account.getSharesList()) {
            total += spentTokens(share);
        }
        return total;
    }

    /** Returns the tokens of an account that are not billed. */
    public static long unspentTokens(AccountState account) {
        return account.getLimitTokens() - billedTokens(account);
    }

    /** Returns the total demand in tokens per second, as measured by all routers with open shares. */
    public static long demandTokensPerSecond(AccountState account) {
        return account.getSharesList().stream()
                .filter(share -> !share.getClosed())
                .mapToLong(ShareState::getDemandTokensPerSecond)
                .sum();
    }

    /** Returns whether an open share other than the given one is waiting for tokens. */
    public static boolean wantedElsewhere(AccountState account, String shareId) {
        return account.getSharesList().stream()
                .anyMatch(share -> share.getWantedTokens() > 0
                        && !share.getClosed()
                        && !share.getShareId().equals(shareId));
    }

    /**
     * Returns the unspent tokens of closed shares of an account, including the lost tokens of shares that were removed with
     * unspent tokens.
     */
    public static long forfeitedTokens(AccountState account) {
        return account.getLostTokens()
                + account.getSharesList().stream()
                        .filter(ShareState::getClosed)
                        .mapToLong(share -> share.getGrantedTokens() - spentTokens(share))
                        .sum();
    }

    /** Returns the billed tokens of a share. */
    public static long spentTokens(ShareState share) {
        return share.getSpentTokens() + share.getKeyedSpentTokens();
    }

    /** Returns the tokens of an account that are billed or held by shares. */
    public static long committedTokens(AccountState account) {
        long total = account.getClosedSpentTokens();
        for (ShareState share : account.getSharesList()) {
            total += share.getGrantedTokens();
        }
        return total;
    }
}
