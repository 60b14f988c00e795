package org.radishspan.budget;

import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.AuditState;
import org.radishspan.proto.ShareState;
import org.radishspan.store.SharedObject.Mutation;

/** The changes of accounts that operators make; each carries its audit entry in the same conditional update. */
public final class AccountChanges {
    private static final int MAX_OPERATION_IDS = 1_000;

    private AccountChanges() {}

    /**
     * Who changes an account, for the audit trail.
     *
     * @param actor the operator
     * @param operationId the same for each repetition of one command
     * @param atMillis when
     */
    public record Operation(String actor, String operationId, long atMillis) {}

    /**
     * How the owner of a budget wants it treated.
     *
     * @param reclaim what becomes of a dead router's rest
     * @param horizonMillis the demand that a router's share covers; 0 for what the preset or the settings say
     */
    public record AccountPolicy(ReclaimMode reclaim, long horizonMillis) {
        /** The rest comes back once fenced, the horizon is the usual one. */
        public static final AccountPolicy USUAL = new AccountPolicy(ReclaimMode.FENCED, 0);
    }

    /** Creates an account. */
    public static Mutation<LedgerBook> create(
            String budget, long limitTokens, AccountPolicy policy, Operation operation) {
        return state -> {
            AccountState existing = state.account(budget);
            if (existing != null && existing.getOperationIdsList().contains(operation.operationId())) {
                return Either.right(state);
            }
            if (existing != null) {
                return Either.left(Failure.notRun(ErrorKind.CONFLICT, "budget " + budget + " exists already"));
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

    /** Sets the limit, which may not fall below what is spent or granted. */
    public static Mutation<LedgerBook> setLimit(String budget, long limitTokens, Operation operation) {
        return changeLimit(budget, operation, "budget limit " + budget, limit -> limitTokens);
    }

    /**
     * Takes over a limit from a configuration, and creates the account where it is missing.
     *
     * <p>A configuration older than the one that set the limit changes nothing. A limit below what is spent or granted is
     * taken over as well: nothing more is granted until it has risen again.
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
                return Either.left(Failure.notRun(
                        ErrorKind.OVERLOADED, "budget " + budget + " remembers its most operation ids; compact it"));
            }
            AccountState changed = account.toBuilder()
                    .setLimitTokens(limit)
                    .addOperationIds(operation.operationId())
                    .build();
            AuditState audit = audit(operation, action, "limit " + account.getLimitTokens(), "limit " + limit);
            return Either.right(state.with(audit).with(changed));
        });
    }

    /** Gives the unspent rest of a closed share back on an operator's word. */
    public static Mutation<LedgerBook> releaseForfeit(String budget, String shareId, Operation operation) {
        return state -> {
            AccountState account = state.account(budget);
            int index = account == null ? -1 : Ledger.indexOf(account, shareId);
            if (account == null || index < 0) {
                return Either.right(state);
            }
            ShareState share = account.getShares(index);
            if (!share.getClosed()) {
                return Either.left(Failure.notRun(ErrorKind.CONFLICT, "share " + shareId + " is in use"));
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
