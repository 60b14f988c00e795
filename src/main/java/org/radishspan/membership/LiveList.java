package org.radishspan.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspan.http.Json;
import org.radishspan.routing.TargetTable.ListedVm;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Reads and writes the platform's list of live and leaving VMs in its JSON form. */
public final class LiveList {
    /** The key of the list in the platform's object API. */
    public static final String KEY = "platform/vms";

    private LiveList() {}

    /** Parses the list; empty if the bytes are not a JSON object. */
    public static Optional<List<ListedVm>> parse(byte[] bytes) {
        return Json.parseObject(bytes).map(root -> {
            List<ListedVm> vms = new ArrayList<>();
            for (JsonNode vm : root.path("vms")) {
                vms.add(read(vm));
            }
            return vms;
        });
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
