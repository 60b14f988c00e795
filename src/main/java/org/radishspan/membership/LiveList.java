package org.radishspan.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import org.radishspan.http.Json;
import org.radishspan.http.JsonSlice;
import org.radishspan.routing.TargetTable.ListedVm;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Reads and writes the platform's list of live and leaving VMs in its JSON form. */
public final class LiveList {
    /** The key of the list in the platform's object API. */
    public static final String KEY = "platform/vms";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_PORT = 65_535;
    private static final JsonSlice EMPTY_LIST = JsonSlice.of("[]".getBytes(UTF_8));

    private LiveList() {}

    /**
     * Parses the list; empty if the bytes are not a JSON object with a list of VMs. A VM whose entry cannot be read, has no
     * name or host, or has a port out of range is skipped and logged; the others hold.
     */
    public static Optional<List<ListedVm>> parse(byte[] bytes) {
        return JsonSlice.of(bytes)
                .fields()
                .flatMap(root -> root.getOrDefault("vms", EMPTY_LIST).elements())
                .map(elements -> elements.stream().flatMap(LiveList::read).toList());
    }

    private static Stream<ListedVm> read(JsonSlice element) {
        JsonNode vm = element.parseObject();
        int port = vm.path("port").asInt();
        boolean usable = vm.path("name").isTextual()
                && vm.path("host").isTextual()
                && !vm.path("host").asText().isEmpty()
                && port >= 0
                && port <= MAX_PORT;
        if (!usable) {
            LOGGER.atWarning().log("skipped an entry of the list of VMs that cannot be read: %s", name(element));
            return Stream.empty();
        }
        return Stream.of(read(vm));
    }

    /** Returns the name in an entry even if another field of it cannot be read. */
    private static String name(JsonSlice element) {
        return element.fields()
                .map(fields -> fields.getOrDefault("name", JsonSlice.EMPTY))
                .flatMap(JsonSlice::parse)
                .map(JsonNode::asText)
                .orElse("");
    }

    private static ListedVm read(JsonNode vm) {
        Set<String> serves = new HashSet<>();
        vm.path("serves").forEach(name -> serves.add(name.asText()));
        return new ListedVm(
                vm.path("name").asText(),
                vm.path("role").asText(),
                vm.path("host").asText(),
                vm.path("port").asInt(),
                vm.path("failure_domain").asText(),
                vm.path("leaving").asBoolean(false),
                serves);
    }

    /** Returns one VM as JSON. */
    public static ObjectNode toJson(ListedVm vm) {
        ObjectNode node = Json.object();
        node.put("name", vm.name());
        node.put("role", vm.role());
        node.put("host", vm.host());
        node.put("port", vm.port());
        node.put("failure_domain", vm.failureDomain());
        node.put("leaving", vm.leaving());
        ArrayNode serves = node.putArray("serves");
        vm.serves().stream().sorted().forEach(serves::add);
        return node;
    }

    /** Returns the list as JSON in UTF-8. */
    public static byte[] encode(List<ListedVm> vms) {
        ObjectNode root = Json.object();
        ArrayNode list = root.putArray("vms");
        vms.forEach(vm -> list.add(toJson(vm)));
        return root.toString().getBytes(UTF_8);
    }
}
