Feature: What the fleet rents and gives back

  Scenario: A plan keeps its bounds
    Then for any demand and offers a plan keeps floor, maximum and refused places

  Scenario: Instances are spread over data centres
    Then six instances at equal prices lie in three data centres

  Scenario: A lost answer rents nothing twice
    Given a cloud that loses the answers to its next 2 starts
    When the fleet keeps a deployment that wants 2 instances
    Then the cloud has rented 2 instances in all
    And each is an endpoint of the deployment

  Scenario: A refused start goes to the next choice
    Given a cloud that refuses starts in its cheapest data centre
    When the fleet keeps a deployment that wants 2 instances
    Then the cloud has rented 2 instances in all
    And each is an endpoint of the deployment

  Scenario: Without a current configuration or a lease nothing changes
    Given a cloud that loses the answers to its next 0 starts
    When the fleet runs some rounds with a configuration that isn't current
    And the fleet runs some rounds without a lease
    Then the cloud has rented 0 instances in all

  Scenario: A dip in demand gives nothing back
    Then demand falls only after its hold time
