Feature: What the fleet rents and releases

  Scenario: A plan stays within its bounds
    Then for any demand and offers a plan respects its minimum, maximum and refused places

  Scenario: Instances are spread over data centres
    Then six instances at equal prices are spread over three data centres

  Scenario: A lost response rents nothing twice
    Given a cloud whose responses are lost for its next 2 starts
    When the fleet manages a deployment that needs 2 instances
    Then the cloud has rented 2 instances in all
    And each is an endpoint of the deployment

  Scenario: A refused start is retried with the next offer
    Given a cloud that refuses starts in its cheapest data centre
    When the fleet manages a deployment that needs 2 instances
    Then the cloud has rented 2 instances in all
    And each is an endpoint of the deployment

  Scenario: Without a current configuration or a lease nothing changes
    Given a cloud whose responses are lost for its next 0 starts
    When the fleet runs several rounds with a configuration that isn't current
    And the fleet runs several rounds without a lease
    Then the cloud has rented 0 instances in all

  Scenario: A short dip in demand releases nothing
    Then demand falls only after its hold time
