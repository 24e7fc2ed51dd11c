/** Load generators and experiments that compare routing decisions and whole deployments with targets and baselines. */
package org.masticpaddle.bench;
