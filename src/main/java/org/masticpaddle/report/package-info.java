/** Service-level report: interval records on the log, error budget burn rates over several windows, and their output. */
package org.masticpaddle.report;
