package org.masticpaddle.settings;

import java.util.List;

/** Thrown when settings are invalid, so that a process cannot start with them. Immutable and thread-safe. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    /**
     * Creates an exception.
     *
     * @param problems descriptions of all problems, each a line with file, line, section and key as far as known
     */
    public SettingsException(List<String> problems) {
        super(String.join(System.lineSeparator(), problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the descriptions of all problems.
     *
     * @return one line for each problem
     */
    public List<String> problems() {
        return problems;
    }
}
