/** Load and experiment tool: scenarios that compare decisions with baselines and print rows. */
package org.masticpaddle.bench;
