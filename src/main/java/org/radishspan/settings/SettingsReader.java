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
 * Reads typed values from an INI file and collects every fault instead of stopping at the first.
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
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Set<String>> known = new LinkedHashMap<>();
    private final List<SettingFault> faults = new ArrayList<>();

    private SettingsReader() {}

    /** Reads the text of a settings file. */
    public static SettingsReader parse(String text) {
        SettingsReader reader = new SettingsReader();
        reader.locateLines(text);
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
            faults.add(new SettingFault("", "", 1, "every key must stand in a section"));
            return;
        }
        SubnodeConfiguration node = ini.getSection(section);
        Map<String, String> entries = new LinkedHashMap<>();
        node.getKeys().forEachRemaining(key -> entries.put(key.replace("..", "."), node.getString(key, "")));
        values.put(section, entries);
    }

    private void locateLines(String text) {
        String section = "";
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            String trimmed = line.strip();
            if (trimmed.startsWith("[") && trimmed.endsWith("]")) {
                section = trimmed.substring(1, trimmed.length() - 1).strip();
                lines.putIfAbsent(section, number);
                continue;
            }
            int equals = trimmed.indexOf('=');
            if (equals > 0 && !trimmed.startsWith("#") && !trimmed.startsWith(";")) {
                String place = section + "/" + trimmed.substring(0, equals).strip();
                if (lines.putIfAbsent(place, number) != null) {
                    fault(section, trimmed.substring(0, equals).strip(), "is set twice");
                }
            }
        }
    }

    /** Returns the names behind a prefix in section names, for example {@code hire} of {@code [service.hire]}. */
    public List<String> namesOf(String prefix) {
        List<String> names = new ArrayList<>();
        for (String section : values.keySet()) {
            if (section.startsWith(prefix + ".")) {
                names.add(section.substring(prefix.length() + 1));
            }
        }
        return names;
    }

    private Optional<String> raw(String section, String key) {
        known.computeIfAbsent(section, ignored -> new LinkedHashSet<>()).add(key);
        Map<String, String> entries = values.get(section);
        return entries == null ? Optional.empty() : Optional.ofNullable(entries.get(key));
    }

    /** Returns a text that must be there. */
    public String text(String section, String key) {
        Optional<String> value = raw(section, key).map(String::strip).filter(text -> !text.isEmpty());
        if (value.isEmpty()) {
            fault(section, key, "is missing; a text is needed");
        }
        return value.orElse("");
    }

    /** Returns a text, or the default. */
    public String text(String section, String key, String defaultValue) {
        return raw(section, key).map(String::strip).orElse(defaultValue);
    }

    /** Returns one of several words, or the default. */
    public String oneOf(String section, String key, String defaultValue, List<String> allowed) {
        String value = text(section, key, defaultValue);
        if (!allowed.contains(value)) {
            fault(section, key, "must be one of " + String.join(", ", allowed) + ", not " + value);
            return defaultValue;
        }
        return value;
    }

    /** Returns a yes or no, or the default. */
    public boolean yesOrNo(String section, String key, boolean defaultValue) {
        return oneOf(section, key, defaultValue ? "yes" : "no", List.of("yes", "no"))
                .equals("yes");
    }

    /** Returns a port that must be there; 0 stands for any. */
    public int port(String section, String key) {
        return (int) required(section, key, 0, MAX_PORT);
    }

    /** Returns a whole number that must be there. */
    public long required(String section, String key, long minimum, long maximum) {
        if (raw(section, key).isEmpty()) {
            fault(section, key, "is missing; a whole number from " + minimum + " to " + maximum + " is needed");
            return minimum;
        }
        return wholeNumber(section, key, minimum, minimum, maximum);
    }

    /** Returns a whole number, or the default. */
    public long wholeNumber(String section, String key, long defaultValue, long minimum, long maximum) {
        Optional<String> value = raw(section, key).map(String::strip);
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
        int line = lines.getOrDefault(section + "/" + key, lines.getOrDefault(section, 0));
        faults.add(new SettingFault(section, key, line, message));
    }

    /** Returns the settings, or every fault, keys that nobody asked for included. */
    public <T> Either<List<SettingFault>, T> finish(Supplier<T> settings) {
        reportUnknown();
        if (!faults.isEmpty()) {
            return Either.left(List.copyOf(faults));
        }
        return Either.right(settings.get());
    }

    private void reportUnknown() {
        for (Map.Entry<String, Map<String, String>> section : values.entrySet()) {
            Set<String> keys = known.get(section.getKey());
            if (keys == null) {
                fault(section.getKey(), "", "no such section" + suggestion(section.getKey(), known.keySet()));
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
                .orElse("; there are " + String.join(", ", candidates));
    }

    /** Finds the name that a person may have meant. */
    public static final class Nearest {
        private Nearest() {}

        /** Returns the candidate with the fewest edits, if that is at most the given number. */
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
