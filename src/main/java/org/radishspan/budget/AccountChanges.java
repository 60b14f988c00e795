package org.radishspan.budget;

import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.AuditState;
import org.radishspan.proto.ShareState;
import org.radishspan.store.SharedObject.Mutation;

/**
 * Changes of accounts by operators and configurations. An operator's change and its audit entry are one conditional update.
 */
public final class AccountChanges {
    private static final int MAX_OPERATION_IDS = 1_000;

    private AccountChanges() {}

    /**
     * Identifies one change of an account by an operator, for the audit trail.
     *
     * @param actor the name of the operator
     * @param operationId the id of the command, which is the same for each repetition of it
     * @param atMillis the time of the change
     */
    public record Operation(String actor, String operationId, long atMillis) {}

    /**
     * The settings of an account that the owner of the budget chooses.
     *
     * @param reclaim what happens to the unspent tokens of a dead router's share
     * @param horizonMillis the period whose demand a router's share covers; 0 for the value of the preset or the settings
     */
    public record AccountPolicy(ReclaimMode reclaim, long horizonMillis) {
        /**
         * Unspent tokens return to the account once the share can receive no more bills, and the horizon is that of the
         * preset or the settings.
         */
        public static final AccountPolicy DEFAULT = new AccountPolicy(ReclaimMode.FENCED, 0);
    }

    /** Creates an account, once per operation id; fails if an account of that name exists. */
    public static Mutation<LedgerBook> create(
            String budget, long limitTokens, AccountPolicy policy, Operation operation) {
        return state -> {
            AccountState existing = state.account(budget);
            if (existing != null && existing.getOperationIdsList().contains(operation.operationId())) {
                return Either.right(state);
            }
            if (existing != null) {
                return Either.left(Failure.notRun(ErrorKind.CONFLICT, "budget " + budget + " already exists"));
            }
            AccountState created = AccountState.newBuilder()
                    .setBudget(budget)
                    .setLimitTokens(limitTokens)
                    .setReclaim(policy.reclaim().wireName())
                    .setHorizonMillis(policy.horizonMillis())
                    .addOperationIds(operation.operationId())
                    .build();
            AuditState audit = audit(operation, "budget create " + budget, "", "limit " + limitTokens);
            return Either.right(state.with(audit).with(created));
        };
    }

    /** Adds tokens to the limit, once per operation id. */
    public static Mutation<LedgerBook> topUp(String budget, long tokens, Operation operation) {
        return changeLimit(budget, operation, "budget topup " + budget, limit -> limit + tokens);
    }

    /** Sets the limit, which must not be below the tokens spent or granted. */
    public static Mutation<LedgerBook> setLimit(String budget, long limitTokens, Operation operation) {
        return changeLimit(budget, operation, "budget limit " + budget, limit -> limitTokens);
    }

    /**
     * Adopts a limit from a configuration, and creates the account if it does not exist.
     *
     * <p>A configuration that is older than the one that set the limit changes nothing. A limit below the tokens spent or
     * granted is adopted as well. No tokens are then granted until the limit exceeds the spent and granted tokens again.
     */
    public static Mutation<LedgerBook> adoptLimit(String budget, long limitTokens, long configurationVersion) {
        return state -> {
            AccountState account = state.account(budget);
            if (account == null) {
                AccountState created = AccountState.newBuilder()
                        .setBudget(budget)
                        .setLimitTokens(limitTokens)
                        .setLimitVersion(configurationVersion)
                        .setReclaim(ReclaimMode.OPERATOR.wireName())
                        .build();
                return Either.right(state.with(created));
            }
            if (account.getLimitVersion() >= configurationVersion) {
                return Either.right(state);
            }
            return Either.right(state.with(account.toBuilder()
                    .setLimitTokens(limitTokens)
                    .setLimitVersion(configurationVersion)
                    .build()));
        };
    }

    private static Mutation<LedgerBook> changeLimit(
            String budget, Operation operation, String action, UnaryOperator<Long> change) {
        return Ledger.onAccount(budget, (state, account) -> {
            if (account.getOperationIdsList().contains(operation.operationId())) {
                return Either.right(state);
            }
            long limit = change.apply(account.getLimitTokens());
            long committed = Accounts.committedTokens(account);
            if (limit < committed) {
                return Either.left(Failure.notRun(
                        ErrorKind.CONFLICT,
                        "limit " + limit + " is below the " + committed + " tokens spent or granted to routers"));
            }
            if (account.getOperationIdsCount() >= MAX_OPERATION_IDS) {
                return Either.left(
                        Failure.notRun(
                                ErrorKind.OVERLOADED,
                                "budget " + budget
                                        + " already stores the maximum number of operation ids; operators cannot change its limit"));
            }
            AccountState changed = account.toBuilder()
                    .setLimitTokens(limit)
                    .addOperationIds(operation.operationId())
                    .build();
            AuditState audit = audit(operation, action, "limit " + account.getLimitTokens(), "limit " + limit);
            return Either.right(state.with(audit).with(changed));
        });
    }

    /** Removes a closed share and returns its unspent tokens to the account, as requested by an operator. */
    public static Mutation<LedgerBook> releaseForfeit(String budget, String shareId, Operation operation) {
        return state -> {
            AccountState account = state.account(budget);
            int index = account == null ? -1 : Ledger.indexOf(account, shareId);
            if (account == null || index < 0) {
                return Either.right(state);
            }
            ShareState share = account.getShares(index);
            if (!share.getClosed()) {
                return Either.left(Failure.notRun(ErrorKind.CONFLICT, "share " + shareId + " is still open"));
            }
            AuditState audit = audit(
                    operation,
                    "budget release " + budget,
                    "share " + shareId + " holds " + (share.getGrantedTokens() - Accounts.spentTokens(share)),
                    "released");
            return Either.right(Ledger.removeShare(state.with(audit), budget, shareId));
        };
    }

    private static AuditState audit(Operation operation, String action, String before, String after) {
        return AuditState.newBuilder()
                .setAtMillis(operation.atMillis())
                .setActor(operation.actor())
                .setOperationId(operation.operationId())
                .setAction(action)
                .setBefore(before)
                .setAfter(after)
                .build();
    }
}
