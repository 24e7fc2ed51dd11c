package org.masticpaddle.document;

import java.util.Objects;

/**
 * Qualified name of a version of a model. Immutable and thread-safe.
 *
 * @param model name of the model
 * @param version name of the version
 */
public record VersionName(String model, String version) {
    /** Checks the arguments. */
    public VersionName {
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(version, "version is null");
    }

    /**
     * Parses a name in the form of {@link #toString()}.
     *
     * @param text {@code model/version}
     * @return the parsed name
     * @throws IllegalArgumentException if there is no slash
     */
    public static VersionName parse(String text) {
        final int slash = text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("expected model/version, found \"" + text + "\"");
        }
        return new VersionName(text.substring(0, slash), text.substring(slash + 1));
    }

    @Override
    public String toString() {
        return model + "/" + version;
    }
}
