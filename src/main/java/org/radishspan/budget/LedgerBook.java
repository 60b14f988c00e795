package org.radishspan.budget;

import java.util.Comparator;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import org.jspecify.annotations.Nullable;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.AuditState;
import org.radishspan.proto.CommittedMark;
import org.radishspan.proto.LedgerState;
import org.radishspan.proto.RestorationState;
import org.radishspan.store.StoreEra;

/**
 * The immutable content of a ledger object.
 *
 * <p>Accounts are stored in a persistent map, so that the cost of changing one account does not grow with their number. A
 * mutation that changes nothing returns the same instance.
 */
public final class LedgerBook {
    /** A ledger without accounts. */
    public static final LedgerBook EMPTY = new LedgerBook(
            HashMap.empty(), Vector.empty(), new Version(StoreEra.UNKNOWN, 0), RestorationState.getDefaultInstance());

    private static final int MAX_AUDIT_ENTRIES = 500;

    /**
     * Orders the contents of a ledger over all eras of the store. A revision of the store cannot do that, because the store
     * gives revisions out again in a later era.
     *
     * @param era the era of the store in which the content was written
     * @param generation a number that rises with each change
     */
    public record Version(long era, long generation) {
        private static final Comparator<Version> ORDER =
                Comparator.comparingLong(Version::era).thenComparingLong(Version::generation);

        /** Returns the version of the ledger in which a router learned the tokens that a budget had committed. */
        static Version of(CommittedMark mark) {
            return new Version(mark.getEra(), mark.getGeneration());
        }

        boolean isLaterThan(Version other) {
            return ORDER.compare(this, other) > 0;
        }

        private Version next() {
            return new Version(era, generation + 1);
        }
    }

    private final HashMap<String, AccountState> accounts;
    private final Vector<AuditState> audit;
    private final Version version;
    private final RestorationState restoration;

    private LedgerBook(
            HashMap<String, AccountState> accounts,
            Vector<AuditState> audit,
            Version version,
            RestorationState restoration) {
        this.accounts = accounts;
        this.audit = audit;
        this.version = version;
        this.restoration = restoration;
    }

    /** Decodes a ledger object; an empty array is decoded as a ledger without accounts. */
    public static LedgerBook decode(byte[] bytes) {
        try {
            LedgerState state = LedgerState.parseFrom(bytes);
            return new LedgerBook(
                    HashMap.ofAll(state.getAccountsMap()),
                    Vector.ofAll(state.getAuditList()),
                    new Version(state.hasEra() ? state.getEra() : StoreEra.UNKNOWN, state.getGeneration()),
                    state.getRestoration());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the ledger object could not be decoded", e);
        }
    }

    /** Returns the encoded ledger object. */
    public byte[] encode() {
        LedgerState.Builder builder = LedgerState.newBuilder().setGeneration(version.generation());
        if (version.era() != StoreEra.UNKNOWN) {
            builder.setEra(version.era());
        }
        if (restoration.getRound() > 0) {
            builder.setRestoration(restoration);
        }
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
        return new LedgerBook(accounts.put(account.getBudget(), account), audit, version.next(), restoration);
    }

    /** Returns a copy of this book with an entry appended to the audit trail; the oldest entry is dropped at the maximum. */
    public LedgerBook with(AuditState entry) {
        Vector<AuditState> extended = audit.append(entry);
        return new LedgerBook(
                accounts,
                extended.size() > MAX_AUDIT_ENTRIES ? extended.drop(1) : extended,
                version.next(),
                restoration);
    }

    /** Returns the version of this content. */
    public Version version() {
        return version;
    }

    /** Returns the last restoration of this ledger; its round is 0 if there was none. */
    RestorationState restoration() {
        return restoration;
    }

    /** Returns whether routers are restoring what the store has lost of this ledger, so that no change is accepted. */
    public boolean isBeingRestored() {
        return restoration.getRound() > 0 && !restoration.getFinished();
    }

    /** Returns a copy of this book with the given state of its restoration. */
    LedgerBook with(RestorationState newRestoration) {
        return new LedgerBook(accounts, audit, version.next(), newRestoration);
    }

    /** Returns a copy of this book that is written in another era, or after later changes. */
    LedgerBook with(Version newVersion) {
        return new LedgerBook(accounts, audit, newVersion, restoration);
    }
}
