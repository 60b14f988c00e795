package org.radishspan.router;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.radishspan.budget.SharePolicy;
import org.radishspan.request.CallReader;
import org.radishspan.settings.SettingFault;
import org.radishspan.settings.SettingsReader;

/** Reads and validates the settings of a router from INI text. */
public final class RouterSettingsReader {
    private static final long MAX_MILLIS = 86_400_000;
    private static final long MAX_PRICE_TOKENS = 1_000_000;
    private static final int MAX_BODY_BYTES = 16_777_216;
    private static final int MAX_PARTITIONS = 4_096;
    private static final int MAX_CALLS_PER_SECOND = 10_000;
    private static final int MAX_INTENTS = 100_000;
    private static final int MAX_ANSWER_BYTES = 65_536;
    private static final int MAX_OUTPUT_TOKENS = 1_000_000;
    private static final int MAX_HOLDERS = 8;
    private static final double PERCENT = 100.0;

    private final SettingsReader reader;

    private RouterSettingsReader(SettingsReader reader) {
        this.reader = reader;
    }

    /** Returns the settings, or all faults of the text. */
    public static Either<List<SettingFault>, RouterSettings> read(String text) {
        SettingsReader reader = SettingsReader.parse(text);
        RouterSettings settings = new RouterSettingsReader(reader).settings();
        return reader.finish(() -> settings);
    }

    private RouterSettings settings() {
        return new RouterSettings(
                reader.text("vm", "name"),
                reader.text("vm", "failure_domain"),
                caller(),
                operator(),
                peer(),
                platform(),
                storage(),
                shares(),
                requests(),
                services());
    }

    private RouterSettings.Caller caller() {
        return new RouterSettings.Caller(reader.text("caller", "host"), reader.port("caller", "port"), (int)
                reader.wholeNumber("caller", "max_body_bytes", 1_048_576, 1_024, MAX_BODY_BYTES));
    }

    private RouterSettings.Operator operator() {
        return new RouterSettings.Operator(
                reader.text("operator", "host"), reader.port("operator", "port"), reader.text("operator", "key"));
    }

    private RouterSettings.PeerPort peer() {
        return new RouterSettings.PeerPort(
                reader.text("peer", "host"), reader.port("peer", "port"), reader.text("peer", "secret"));
    }

    private RouterSettings.Platform platform() {
        return new RouterSettings.Platform(
                reader.text("platform", "host"),
                reader.port("platform", "port"),
                reader.wholeNumber("platform", "timeout_millis", 1_000, 10, 60_000),
                reader.wholeNumber("platform", "watch_millis", 20_000, 100, 600_000),
                (int) reader.wholeNumber("platform", "fleet_reads_per_second", 1_200, 1, MAX_CALLS_PER_SECOND),
                (int) reader.wholeNumber("platform", "fleet_writes_per_second", 250, 1, MAX_CALLS_PER_SECOND),
                reader.yesOrNo("platform", "announce", false));
    }

    private RouterSettings.Storage storage() {
        return new RouterSettings.Storage(
                (int) reader.wholeNumber("storage", "ledger_partitions", 1, 1, MAX_PARTITIONS),
                (int) reader.wholeNumber("storage", "journal_partitions", 64, 1, MAX_PARTITIONS),
                reader.wholeNumber("storage", "commit_gap_millis", 150, 0, 10_000),
                reader.wholeNumber("storage", "keep_outcomes_millis", MAX_MILLIS, 1_000, MAX_MILLIS * 30),
                (int) reader.wholeNumber("storage", "max_intents", 1_000, 1, MAX_INTENTS),
                (int) reader.wholeNumber("storage", "max_answer_bytes", 16_384, 0, MAX_ANSWER_BYTES));
    }

    private SharePolicy shares() {
        SharePolicy defaults = SharePolicy.DEFAULT;
        return new SharePolicy(
                reader.wholeNumber("shares", "horizon_millis", defaults.horizonMillis(), 100, MAX_MILLIS),
                reader.wholeNumber("shares", "free_percent", (long) (defaults.freeFraction() * PERCENT), 1, 100)
                        / PERCENT,
                reader.wholeNumber("shares", "held_percent", (long) (defaults.heldFraction() * PERCENT), 1, 100)
                        / PERCENT,
                reader.wholeNumber("shares", "minimum_grant_tokens", defaults.minimumGrantTokens(), 1, 1_000_000),
                reader.wholeNumber("shares", "wait_millis", defaults.waitMillis(), 0, 60_000),
                reader.wholeNumber("shares", "retry_millis", defaults.retryMillis(), 10, 60_000),
                reader.wholeNumber("shares", "handover_after_millis", defaults.handoverAfterMillis(), 10, 60_000),
                (int) reader.wholeNumber("shares", "holder_count", defaults.holderCount(), 0, MAX_HOLDERS));
    }

    private RouterSettings.Requests requests() {
        return new RouterSettings.Requests(
                reader.wholeNumber("requests", "deadline_millis", 120_000, 100, MAX_MILLIS),
                reader.wholeNumber("requests", "progress_timeout_millis", 15_000, 100, MAX_MILLIS),
                reader.wholeNumber("requests", "await_millis", 10_000, 0, MAX_MILLIS),
                reader.wholeNumber("requests", "drain_millis", 60_000, 0, MAX_MILLIS),
                (int) reader.wholeNumber("requests", "max_output_tokens", 4_096, 1, MAX_OUTPUT_TOKENS),
                (int) reader.wholeNumber("requests", "default_output_tokens", 256, 1, MAX_OUTPUT_TOKENS));
    }

    private Map<String, CallReader.ServiceSpec> services() {
        Map<String, CallReader.ServiceSpec> services = new LinkedHashMap<>();
        for (String name : reader.namesOf("service")) {
            String section = "service." + name;
            boolean repeatable = reader.yesOrNo(section, "repeatable", false);
            long priceTokens = reader.wholeNumber(section, "price_tokens", 1, 0, MAX_PRICE_TOKENS);
            services.put(name, new CallReader.ServiceSpec(repeatable, priceTokens));
        }
        return services;
    }
}
