package org.radishspan.budget;

import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import org.jspecify.annotations.Nullable;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.AuditState;
import org.radishspan.proto.LedgerState;

/**
 * The immutable content of a ledger object.
 *
 * <p>Accounts are kept in a persistent map, so that a change of one account costs the same however many there are. A
 * mutation that has nothing to do returns the very same book.
 */
public final class LedgerBook {
    /** A ledger without accounts. */
    public static final LedgerBook EMPTY = new LedgerBook(HashMap.empty(), Vector.empty());

    private static final int MAX_AUDIT_ENTRIES = 500;

    private final HashMap<String, AccountState> accounts;
    private final Vector<AuditState> audit;

    private LedgerBook(HashMap<String, AccountState> accounts, Vector<AuditState> audit) {
        this.accounts = accounts;
        this.audit = audit;
    }

    /** Reads a ledger object; no bytes stand for an empty ledger. */
    public static LedgerBook decode(byte[] bytes) {
        try {
            LedgerState state = LedgerState.parseFrom(bytes);
            return new LedgerBook(HashMap.ofAll(state.getAccountsMap()), Vector.ofAll(state.getAuditList()));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the ledger object holds no ledger", e);
        }
    }

    /** Returns the bytes of the ledger object. */
    public byte[] encode() {
        LedgerState.Builder builder = LedgerState.newBuilder();
        accounts.forEach(builder::putAccounts);
        audit.forEach(builder::addAudit);
        return builder.build().toByteArray();
    }

    /** Returns an account; null if there is none of that name. */
    public @Nullable AccountState account(String budget) {
        return accounts.getOrElse(budget, null);
    }

    /** Returns an account. */
    public Optional<AccountState> find(String budget) {
        return accounts.get(budget).toJavaOptional();
    }

    /** Returns every account. */
    public Iterable<AccountState> accounts() {
        return accounts.values();
    }

    /** Returns the names of all accounts. */
    public Iterable<String> budgets() {
        return accounts.keySet();
    }

    /** Returns the audit trail, oldest first. */
    public Iterable<AuditState> audit() {
        return audit;
    }

    /** Returns this book with an account added or replaced. */
    public LedgerBook with(AccountState account) {
        return new LedgerBook(accounts.put(account.getBudget(), account), audit);
    }

    /** Returns this book with one more entry in the audit trail. */
    public LedgerBook with(AuditState entry) {
        Vector<AuditState> longer = audit.append(entry);
        return new LedgerBook(accounts, longer.size() > MAX_AUDIT_ENTRIES ? longer.drop(1) : longer);
    }
}
