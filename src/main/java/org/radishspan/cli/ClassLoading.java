package org.radishspan.cli;

import java.io.File;
import java.io.IOException;
import java.net.URISyntaxException;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

import com.google.common.flogger.FluentLogger;

/**
 * Loads all classes of this program from its JAR.
 *
 * <p>A class-data archive that the JVM writes at exit contains only classes that were loaded. Loading all of them adds the
 * classes of commands that did not run.
 */
final class ClassLoading {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String OWN_PACKAGE_PREFIX = "org/radishspan/";
    private static final String CLASS_SUFFIX = ".class";

    private ClassLoading() {}

    /** Loads the classes and returns how many were loaded; returns 0 if the program does not run from a JAR. */
    static int loadOwnClasses() {
        int loaded = 0;
        for (String name : ownClassNames()) {
            loaded += load(name) ? 1 : 0;
        }
        return loaded;
    }

    private static List<String> ownClassNames() {
        try {
            File codeSource = new File(ClassLoading.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            if (!codeSource.isFile()) {
                return List.of();
            }
            try (JarFile jar = new JarFile(codeSource)) {
                return jar.stream()
                        .map(JarEntry::getName)
                        .filter(entry -> entry.startsWith(OWN_PACKAGE_PREFIX) && entry.endsWith(CLASS_SUFFIX))
                        .map(entry -> entry.substring(0, entry.length() - CLASS_SUFFIX.length())
                                .replace('/', '.'))
                        .toList();
            }
        } catch (URISyntaxException | IOException e) {
            LOGGER.atWarning().withCause(e).log("cannot read the JAR of this program; none of its classes are loaded");
            return List.of();
        }
    }

    private static boolean load(String name) {
        try {
            Class.forName(name, false, ClassLoading.class.getClassLoader());
            return true;
        } catch (ClassNotFoundException | LinkageError e) {
            LOGGER.atWarning().withCause(e).log("cannot load class %s; continuing without it", name);
            return false;
        }
    }
}
