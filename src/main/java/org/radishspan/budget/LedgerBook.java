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
 * <p>Accounts are stored in a persistent map, so that the cost of changing one account does not grow with their number. A
 * mutation that changes nothing returns the same instance.
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

    /** Decodes a ledger object; an empty array is decoded as a ledger without accounts. */
    public static LedgerBook decode(byte[] bytes) {
        try {
            LedgerState state = LedgerState.parseFrom(bytes);
            return new LedgerBook(HashMap.ofAll(state.getAccountsMap()), Vector.ofAll(state.getAuditList()));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the ledger object could not be decoded", e);
        }
    }

    /** Returns the encoded ledger object. */
    public byte[] encode() {
        LedgerState.Builder builder = LedgerState.newBuilder();
        accounts.forEach(builder::putAccounts);
        audit.forEach(builder::addAudit);
        return builder.build().toByteArray();
    }

    /** Returns an account; null if there is no account of that name. */
    public @Nullable AccountState account(String budget) {
        return accounts.getOrElse(budget, null);
    }

    /** Returns an account; empty if there is no account of that name. */
    public Optional<AccountState> find(String budget) {
        return accounts.get(budget).toJavaOptional();
    }

    /** Returns all accounts. */
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

    /** Returns a copy of this book in which an account is added or replaced. */
    public LedgerBook with(AccountState account) {
        return new LedgerBook(accounts.put(account.getBudget(), account), audit);
    }

    /** Returns a copy of this book with an entry appended to the audit trail; the oldest entry is dropped at the maximum. */
    public LedgerBook with(AuditState entry) {
        Vector<AuditState> extended = audit.append(entry);
        return new LedgerBook(accounts, extended.size() > MAX_AUDIT_ENTRIES ? extended.drop(1) : extended);
    }
}
