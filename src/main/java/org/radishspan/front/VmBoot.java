package org.radishspan.front;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

/**
 * The boot of the VM that this process runs in.
 *
 * <p>Readings of {@link System#nanoTime} by two processes can be compared only if both ran in the same boot: on Linux the
 * JVM returns the kernel's monotonic clock, which starts with the boot.
 *
 * @param id the boot; 0 if it is not known
 * @param unknownBecause why it is not known; empty if it is
 */
record VmBoot(long id, String unknownBecause) {
    /** Where Linux tells a random id, new with each boot. */
    static final Path KERNEL_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    /** Reads the id. */
    static VmBoot read(Path file) {
        try {
            return new VmBoot(UUID.fromString(Files.readString(file).strip()).getMostSignificantBits(), "");
        } catch (IOException | IllegalArgumentException e) {
            return new VmBoot(0, e.toString());
        }
    }
}
