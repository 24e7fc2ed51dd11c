package org.masticpaddle.routing;

import java.util.Objects;

import org.masticpaddle.document.VersionName;

/** What a caller asks for in the field {@code model}. Immutable and thread-safe. */
public sealed interface ModelSelector {
    /**
     * Reads a wish.
     *
     * @param text {@code auto}, a model, or {@code model/version}; empty counts as {@code auto}
     * @return the wish
     */
    static ModelSelector parse(String text) {
        Objects.requireNonNull(text, "text is null");
        if (text.isEmpty() || text.equals("auto")) {
            return new Any();
        }
        return text.indexOf('/') < 0 ? new OfModel(text) : new OfVersion(VersionName.parse(text));
    }

    /**
     * Tells whether a version satisfies the wish.
     *
     * @param version the version
     * @return {@code true} if it does
     */
    boolean accepts(VersionName version);

    /** Any allowed version. */
    record Any() implements ModelSelector {
        @Override
        public boolean accepts(VersionName version) {
            return true;
        }
    }

    /**
     * Any version of a model.
     *
     * @param model the model
     */
    record OfModel(String model) implements ModelSelector {
        @Override
        public boolean accepts(VersionName version) {
            return version.model().equals(model);
        }
    }

    /**
     * One version.
     *
     * @param version the version
     */
    record OfVersion(VersionName version) implements ModelSelector {
        @Override
        public boolean accepts(VersionName other) {
            return version.equals(other);
        }
    }
}
