package org.radishspan.front;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

/**
 * Identifies the boot of the VM that this process runs in.
 *
 * <p>Values of {@link System#nanoTime} from two processes can be compared only if both ran in the same boot, because on Linux
 * the JVM returns the kernel's monotonic clock, which starts at boot.
 *
 * @param id the upper 64 bits of the kernel's boot id; 0 if it could not be read
 * @param unknownReason why the id could not be read; empty if it was read
 */
record VmBoot(long id, String unknownReason) {
    /** The file in which Linux provides a random id that is new with each boot. */
    static final Path KERNEL_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    /** Reads the boot id from a file. If the file is missing or holds no UUID, the result has the id 0 and the reason. */
    static VmBoot read(Path file) {
        try {
            return new VmBoot(UUID.fromString(Files.readString(file).strip()).getMostSignificantBits(), "");
        } catch (IOException | IllegalArgumentException e) {
            return new VmBoot(0, e.toString());
        }
    }
}
