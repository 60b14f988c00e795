package org.radishspan.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import org.radishspan.deployment.Address;

/**
 * Reads typed fields of a JSON object and collects all faults instead of stopping at the first.
 *
 * <p>A method that finds a missing or invalid required field adds a fault and returns a placeholder. Callers check
 * {@link #valid} before they use the results.
 */
final class JsonFields {
    private static final int MAX_PORT = 65_535;

    private final JsonNode node;
    private final String path;
    private final List<String> faults;
    private final List<String> replacedValues;

    private JsonFields(JsonNode node, String path, List<String> faults, List<String> replacedValues) {
        this.node = node;
        this.path = path;
        this.faults = faults;
        this.replacedValues = replacedValues;
    }

    static JsonFields of(JsonNode node) {
        return new JsonFields(node, "", new ArrayList<>(), new ArrayList<>());
    }

    /** Returns the faults found so far, each with its key and the allowed values. */
    List<String> faults() {
        return faults;
    }

    /** Returns descriptions of the values that were invalid but optional, each with the value used instead. */
    List<String> replacedValues() {
        return replacedValues;
    }

    boolean valid() {
        return faults.isEmpty();
    }

    void addFault(String key, String message) {
        faults.add(path + key + " " + message);
    }

    private JsonNode get(String key) {
        return node.path(key);
    }

    boolean has(String key) {
        JsonNode value = get(key);
        return !value.isMissingNode() && !value.isNull();
    }

    JsonFields object(String key) {
        JsonNode value = get(key);
        if (!value.isObject()) {
            addFault(key, "must be an object");
        }
        return new JsonFields(value, path + key + ".", faults, replacedValues);
    }

    /** Returns an object whose fields all have defaults. A value of another type is recorded and treated as an empty object. */
    JsonFields optionalObject(String key) {
        JsonNode value = get(key);
        if (has(key) && !value.isObject()) {
            replacedValues.add(path + key + " must be an object, not " + value + "; defaults are used");
        }
        return new JsonFields(value, path + key + ".", faults, replacedValues);
    }

    List<JsonFields> objects(String key) {
        List<JsonFields> result = new ArrayList<>();
        if (!has(key)) {
            return result;
        }
        if (!get(key).isArray()) {
            addFault(key, "must be a list");
            return result;
        }
        int index = 0;
        for (JsonNode element : get(key)) {
            result.add(new JsonFields(element, path + key + "[" + index + "].", faults, replacedValues));
            index++;
        }
        return result;
    }

    List<String> texts(String key) {
        List<String> result = new ArrayList<>();
        for (JsonNode element : get(key)) {
            if (element.isTextual()) {
                result.add(element.textValue());
            } else {
                addFault(key, "must contain only texts");
            }
        }
        return result;
    }

    /** Returns the texts of a list that is not essential; elements of other types are left out. */
    List<String> optionalTexts(String key) {
        List<String> result = new ArrayList<>();
        for (JsonNode element : get(key)) {
            if (element.isTextual()) {
                result.add(element.textValue());
            }
        }
        return result;
    }

    /** Returns the names of the fields of this object. */
    List<String> fieldNames() {
        List<String> result = new ArrayList<>();
        node.fieldNames().forEachRemaining(result::add);
        return result;
    }

    List<String> fieldNames(String key) {
        List<String> result = new ArrayList<>();
        get(key).fieldNames().forEachRemaining(result::add);
        return result;
    }

    JsonNode array(String key) {
        return get(key);
    }

    String text(String key) {
        JsonNode value = get(key);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            addFault(key, "must be a text");
            return "";
        }
        return value.textValue();
    }

    Optional<String> optionalText(String key) {
        return get(key).isTextual() ? Optional.of(get(key).textValue()) : Optional.empty();
    }

    boolean flag(String key) {
        return get(key).asBoolean(false);
    }

    long wholeNumber(String key, long minimum, long maximum) {
        JsonNode value = get(key);
        boolean whole = value.isNumber() && value.doubleValue() == Math.rint(value.doubleValue());
        if (!whole || value.doubleValue() < minimum || value.doubleValue() > maximum) {
            addFault(key, "must be a whole number from " + minimum + " to " + maximum + ", not " + value);
            return minimum;
        }
        return value.longValue();
    }

    long wholeNumber(String key, long minimum, long maximum, long defaultValue) {
        return has(key) ? wholeNumber(key, minimum, maximum) : defaultValue;
    }

    OptionalLong optionalWholeNumber(String key) {
        return has(key) ? OptionalLong.of(wholeNumber(key, 0, Long.MAX_VALUE)) : OptionalLong.empty();
    }

    double number(String key, double minimum, double maximum, double defaultValue) {
        JsonNode value = get(key);
        if (!has(key)) {
            return defaultValue;
        }
        if (!value.isNumber() || value.doubleValue() < minimum || value.doubleValue() > maximum) {
            addFault(key, "must be a number from " + minimum + " to " + maximum + ", not " + value);
            return defaultValue;
        }
        return value.doubleValue();
    }

    /**
     * Returns a number that is not essential. A value of another type is replaced by the default and a number out of range by
     * the nearest bound. Each replacement is recorded instead of adding a fault.
     */
    double lenientNumber(String key, double minimum, double maximum, double defaultValue) {
        if (!has(key)) {
            return defaultValue;
        }
        JsonNode value = get(key);
        double usable = value.isNumber() ? Math.max(minimum, Math.min(maximum, value.doubleValue())) : defaultValue;
        if (!value.isNumber() || usable != value.doubleValue()) {
            replacedValues.add(path + key + " must be a number from " + minimum + " to " + maximum + ", not " + value
                    + "; " + usable + " is used");
        }
        return usable;
    }

    Address address(String key) {
        String text = text(key);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (NetUtil.isValidIpV4Address(text.substring(0, Math.max(0, colon))) && port > 0 && port <= MAX_PORT) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Reported below, together with all other invalid addresses.
        }
        addFault(key, "must be IP:PORT, not " + text);
        return new Address("", 0);
    }
}
