/** View of instances: folding of list and observations, bounded subsets, and health of connections. */
package org.masticpaddle.membership;
