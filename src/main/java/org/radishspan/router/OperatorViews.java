package org.radishspan.router;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspan.budget.Accounts;
import org.radishspan.budget.Share;
import org.radishspan.http.Json;
import org.radishspan.peer.Peer;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.ConfigurationState;
import org.radishspan.proto.PresetState;
import org.radishspan.proto.ShareState;
import org.radishspan.request.QuarantineTable;
import org.radishspan.routing.Target;

/** Builds the JSON documents that the operator API returns. */
final class OperatorViews {
    private final Router router;

    OperatorViews(Router router) {
        this.router = router;
    }

    ObjectNode status() {
        ObjectNode node = revision(router.configuration().inForce());
        node.put("vm", router.settings().vm());
        node.put("incarnation", router.incarnation());
        node.put("failure_domain", router.settings().failureDomain());
        node.put("ready", router.ready());
        node.put(
                "revision_confirmed_millis_ago",
                router.nowMillis() - router.configuration().confirmedAtMillis());
        node.put("requests_in_progress", router.requests().inProgress());
        node.put("held_shares", router.heldBills().heldShares());
        addShares(node.putArray("shares"));
        addTargets(node.putArray("targets"));
        addPeers(node.putArray("peers"));
        addQuarantined(node.putArray("quarantined"));
        return node;
    }

    ObjectNode presets() {
        ConfigurationState state = router.configuration().inForce();
        ObjectNode node = revision(state);
        ArrayNode list = node.putArray("presets");
        for (PresetState preset : state.getPresetsMap().values()) {
            ObjectNode row = list.addObject();
            row.put("name", preset.getName());
            row.put("urgent_headroom", preset.getUrgentHeadroom());
            row.put("batch_queue_limit", preset.getBatchQueueLimit());
            row.put("batch_max_wait_millis", preset.getBatchMaxWaitMillis());
            row.put("share_horizon_millis", preset.getShareHorizonMillis());
        }
        return node;
    }

    static ObjectNode revision(ConfigurationState state) {
        ObjectNode node = Json.object();
        node.put("revision", state.getRevision());
        node.put("preset_in_force", state.getPresetInForce());
        return node;
    }

    static ObjectNode budget(AccountState account) {
        ObjectNode node = Json.object();
        node.put("budget", account.getBudget());
        node.put("limit_tokens", account.getLimitTokens());
        node.put("billed_tokens", Accounts.billedTokens(account));
        node.put("balance_tokens", account.getLimitTokens() - Accounts.billedTokens(account));
        node.put("free_tokens", Accounts.freeTokens(account));
        node.put("forfeited_tokens", Accounts.forfeitedTokens(account));
        node.put("reclaim", account.getReclaim());
        node.put("horizon_millis", account.getHorizonMillis());
        ArrayNode shares = node.putArray("shares");
        for (ShareState share : account.getSharesList()) {
            ObjectNode row = shares.addObject();
            row.put("share", share.getShareId());
            row.put("vm", share.getVm());
            row.put("granted_tokens", share.getGrantedTokens());
            row.put("billed_tokens", Accounts.spentTokens(share));
            row.put("wanted_tokens", share.getWantedTokens());
            row.put("closed", share.getClosed());
        }
        return node;
    }

    private void addShares(ArrayNode list) {
        for (Share share : router.shares().table().rows()) {
            ObjectNode row = list.addObject();
            row.put("budget", share.budget());
            row.put("granted_tokens", share.grantedTokens());
            row.put("billed_tokens", share.billedTokens());
            row.put("reserved_tokens", share.reservedTokens());
        }
    }

    private void addTargets(ArrayNode list) {
        for (Target target : router.targets().rows()) {
            ObjectNode row = list.addObject();
            row.put("name", target.name());
            row.put("failure_domain", target.failureDomain());
            row.put("expected_load", target.expectedLoad());
            row.put("in_flight", target.inFlight());
            row.put("leaving", target.leaving());
        }
    }

    private void addPeers(ArrayNode list) {
        for (Peer peer : router.peers().table().rows()) {
            ObjectNode row = list.addObject();
            row.put("vm", peer.vm());
            row.put("incarnation", peer.incarnation());
            row.put("revision", peer.configRevision());
            row.put("last_heard_millis_ago", router.nowMillis() - peer.lastReceivedMillis());
        }
    }

    private void addQuarantined(ArrayNode list) {
        for (QuarantineTable.Quarantined quarantined :
                router.requests().quarantineTable().quarantined(router.nowMillis())) {
            ObjectNode row = list.addObject();
            row.put("fingerprint", quarantined.fingerprint());
            row.put("broke", String.join(",", quarantined.targets()));
            row.put("for_millis", quarantined.untilMillis() - router.nowMillis());
        }
    }
}
