package org.radishspan.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.jspecify.annotations.Nullable;

/**
 * Reads typed values from an INI file and collects all faults instead of stopping at the first.
 *
 * <pre>{@code
 * SettingsReader reader = SettingsReader.parse("[vm]\nname = edge-1\n");
 * String name = reader.text("vm", "name");
 * Either<List<SettingFault>, String> result = reader.finish(() -> name);
 * }</pre>
 */
public final class SettingsReader {
    private static final int MAX_SUGGESTION_DISTANCE = 4;
    private static final int MAX_PORT = 65_535;

    private final Map<String, Map<String, String>> values = new LinkedHashMap<>();
    private final Map<String, Integer> lineNumbers = new HashMap<>();
    private final Map<String, Set<String>> requestedKeys = new LinkedHashMap<>();
    private final List<SettingFault> faults = new ArrayList<>();

    private SettingsReader() {}

    /** Parses the text of a settings file. If the text is not valid INI, {@link #finish} returns this fault. */
    public static SettingsReader parse(String text) {
        SettingsReader reader = new SettingsReader();
        reader.recordLineNumbers(text);
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException | RuntimeException e) {
            reader.faults.add(new SettingFault("", "", 0, "the file is not valid INI: " + e.getMessage()));
            return reader;
        }
        for (String section : ini.getSections()) {
            reader.readSection(ini, section);
        }
        return reader;
    }

    private void readSection(INIConfiguration ini, @Nullable String section) {
        if (section == null) {
            faults.add(new SettingFault("", "", 1, "every key must be in a section"));
            return;
        }
        SubnodeConfiguration node = ini.getSection(section);
        Map<String, String> entries = new LinkedHashMap<>();
        node.getKeys().forEachRemaining(key -> entries.put(key.replace("..", "."), node.getString(key, "")));
        values.put(section, entries);
    }

    private void recordLineNumbers(String text) {
        String section = "";
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            String trimmed = line.strip();
            if (trimmed.startsWith("[") && trimmed.endsWith("]")) {
                section = trimmed.substring(1, trimmed.length() - 1).strip();
                lineNumbers.putIfAbsent(section, number);
                continue;
            }
            int equals = trimmed.indexOf('=');
            if (equals > 0 && !trimmed.startsWith("#") && !trimmed.startsWith(";")) {
                String location = section + "/" + trimmed.substring(0, equals).strip();
                if (lineNumbers.putIfAbsent(location, number) != null) {
                    fault(section, trimmed.substring(0, equals).strip(), "is set twice");
                }
            }
        }
    }

    /** Returns the names that follow a prefix in section names, for example {@code hire} of {@code [service.hire]}. */
    public List<String> namesOf(String prefix) {
        List<String> names = new ArrayList<>();
        for (String section : values.keySet()) {
            if (section.startsWith(prefix + ".")) {
                names.add(section.substring(prefix.length() + 1));
            }
        }
        return names;
    }

    private Optional<String> rawValue(String section, String key) {
        requestedKeys.computeIfAbsent(section, ignored -> new LinkedHashSet<>()).add(key);
        Map<String, String> entries = values.get(section);
        return entries == null ? Optional.empty() : Optional.ofNullable(entries.get(key));
    }

    /** Returns a required text. If it is missing, adds a fault and returns an empty text. */
    public String text(String section, String key) {
        Optional<String> value = rawValue(section, key).map(String::strip).filter(text -> !text.isEmpty());
        if (value.isEmpty()) {
            fault(section, key, "is missing; a text is required");
        }
        return value.orElse("");
    }

    /** Returns a text, or the default if it is missing. */
    public String text(String section, String key, String defaultValue) {
        return rawValue(section, key).map(String::strip).orElse(defaultValue);
    }

    /** Returns one of the allowed words, or the default if it is missing. Any other word is a fault. */
    public String oneOf(String section, String key, String defaultValue, List<String> allowed) {
        String value = text(section, key, defaultValue);
        if (!allowed.contains(value)) {
            fault(section, key, "must be one of " + String.join(", ", allowed) + ", not " + value);
            return defaultValue;
        }
        return value;
    }

    /** Returns whether the value is {@code yes}, or the default if it is missing. Other words than yes and no are faults. */
    public boolean yesOrNo(String section, String key, boolean defaultValue) {
        return oneOf(section, key, defaultValue ? "yes" : "no", List.of("yes", "no"))
                .equals("yes");
    }

    /** Returns a required port; 0 means any free port. */
    public int port(String section, String key) {
        return (int) required(section, key, 0, MAX_PORT);
    }

    /** Returns a required whole number. If it is missing or out of range, adds a fault and returns the minimum. */
    public long required(String section, String key, long minimum, long maximum) {
        if (rawValue(section, key).isEmpty()) {
            fault(section, key, "is missing; a whole number from " + minimum + " to " + maximum + " is required");
            return minimum;
        }
        return wholeNumber(section, key, minimum, minimum, maximum);
    }

    /** Returns a whole number, or the default if it is missing. Other values and values out of range are faults. */
    public long wholeNumber(String section, String key, long defaultValue, long minimum, long maximum) {
        Optional<String> value = rawValue(section, key).map(String::strip);
        if (value.isEmpty()) {
            return defaultValue;
        }
        String allowed = "a whole number from " + minimum + " to " + maximum;
        try {
            long number = Long.parseLong(value.get());
            if (number < minimum || number > maximum) {
                fault(section, key, "must be " + allowed + ", not " + number);
                return defaultValue;
            }
            return number;
        } catch (NumberFormatException e) {
            fault(section, key, "must be " + allowed + ", not " + value.get());
            return defaultValue;
        }
    }

    private void fault(String section, String key, String message) {
        int line = lineNumbers.getOrDefault(section + "/" + key, lineNumbers.getOrDefault(section, 0));
        faults.add(new SettingFault(section, key, line, message));
    }

    /** Returns the settings, or all faults, including each section and key that no method of this reader has read. */
    public <T> Either<List<SettingFault>, T> finish(Supplier<T> settings) {
        reportUnknown();
        if (!faults.isEmpty()) {
            return Either.left(List.copyOf(faults));
        }
        return Either.right(settings.get());
    }

    private void reportUnknown() {
        for (Map.Entry<String, Map<String, String>> section : values.entrySet()) {
            Set<String> keys = requestedKeys.get(section.getKey());
            if (keys == null) {
                fault(section.getKey(), "", "no such section" + suggestion(section.getKey(), requestedKeys.keySet()));
                continue;
            }
            for (String key : section.getValue().keySet()) {
                if (!keys.contains(key)) {
                    fault(section.getKey(), key, "no such key" + suggestion(key, keys));
                }
            }
        }
    }

    private static String suggestion(String name, Set<String> candidates) {
        return Nearest.to(name, candidates, MAX_SUGGESTION_DISTANCE + name.length() / 2)
                .map(nearest -> "; did you mean " + nearest + "?")
                .orElse("; valid names are " + String.join(", ", candidates));
    }

    /** Finds the valid name that is closest to a misspelled one. */
    public static final class Nearest {
        private Nearest() {}

        /** Returns the candidate with the smallest Levenshtein distance; empty if that exceeds the maximum. */
        public static Optional<String> to(String name, Set<String> candidates, int maxDistance) {
            String best = null;
            int bestDistance = maxDistance + 1;
            for (String candidate : candidates) {
                int distance = LevenshteinDistance.getDefaultInstance().apply(name, candidate);
                if (distance < bestDistance) {
                    best = candidate;
                    bestDistance = distance;
                }
            }
            return Optional.ofNullable(best);
        }
    }
}
